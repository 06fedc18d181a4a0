package io.samphiredyke.gateway;

import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.serving.EndpointDirectory;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.upstream.EndpointConnectionPool;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Informs the scheduler and the connection pool of endpoints that come and go. */
final class EndpointAvailability implements EndpointDirectory.Listener {

  private final Supplier<PoolScheduler> scheduler;
  private final EndpointConnectionPool connections;
  private final LongSupplier nanoTime;
  private final DecisionLog log;

  EndpointAvailability(
      Supplier<PoolScheduler> scheduler,
      EndpointConnectionPool connections,
      LongSupplier nanoTime,
      DecisionLog log) {
    this.scheduler = scheduler;
    this.connections = connections;
    this.nanoTime = nanoTime;
    this.log = log;
  }

  @Override
  public void available(EndpointRecord endpoint) {
    log.event(
        "endpoint_up",
        "endpoint",
        endpoint.id(),
        "service",
        endpoint.service(),
        "address",
        endpoint.address(),
        "slots",
        endpoint.slots(),
        "cold_ms",
        endpoint.warmUpRemainingMillis());
    scheduler.get().put(endpoint, nanoTime.getAsLong());
  }

  @Override
  public void unavailable(EndpointRecord endpoint, String reason) {
    log.event("endpoint_down", "endpoint", endpoint.id(), "reason", reason);
    scheduler.get().remove(endpoint);
    connections.forget(endpoint.address());
  }
}
