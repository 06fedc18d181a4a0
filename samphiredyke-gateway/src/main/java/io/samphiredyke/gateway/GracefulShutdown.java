package io.samphiredyke.gateway;

import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.request.RequestsInProgress;
import io.samphiredyke.gateway.store.HostRegistry;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Graceful shutdown: the host becomes not ready at once, serves requests until callers use other
 * hosts, stops accepting connections, and terminates.
 *
 * <p>Callers cache addresses, so requests keep arriving for some seconds, and all of them are
 * served as long as they can end in time; see {@link RequestsInProgress} for the others. After that
 * time idle connections are closed, and running requests have the rest of the grace period to
 * complete, as have the requests of other hosts that go through this one, and hosts that lack this
 * host's configuration to load it.
 */
final class GracefulShutdown {

  /** Time before the end of the grace period at which the process terminates on its own. */
  private static final int KILL_MARGIN_MILLIS = 600;

  /** Callers cache addresses for up to three times the TTL. */
  private static final int MAX_TTL_FACTOR = 3;

  /** Longest time from the stop signal to the begin of the shutdown on a busy host. */
  private static final int SIGNAL_DELAY_MILLIS = 200;

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Gateway gateway;
  private final DecisionLog log;
  private final Runnable exit;
  private boolean started;
  private boolean isHeld;
  private long startedAt;
  private @Nullable CompletableFuture<Void> unregistration;

  /**
   * Creates a shutdown that has not begun.
   *
   * @param exit ends the process
   */
  GracefulShutdown(Gateway gateway, DecisionLog log, Runnable exit) {
    this.gateway = gateway;
    this.log = log;
    this.exit = exit;
  }

  /** Begins the shutdown. May be called from any thread. */
  void begin() {
    gateway.loop().execute(this::start);
  }

  private void start() {
    if (started) {
      return;
    }
    started = true;
    startedAt = gateway.loop().nanoTime();
    log.event(
        "stop_begun",
        "grace_ms",
        gateway.graceMillis(),
        "busy",
        gateway.frontend().busyConnections());
    gateway.drain();
    long lifeMillis = gateway.graceMillis() - KILL_MARGIN_MILLIS;
    gateway
        .requestsInProgress()
        .stopAt(
            startedAt + (addressLifetimeMillis() - SIGNAL_DELAY_MILLIS) * NANOS_PER_MILLI,
            startedAt + lifeMillis * NANOS_PER_MILLI);
    gateway.loop().scheduleWithFixedDelay(this::check, CHECK_INTERVAL);
  }

  private long addressLifetimeMillis() {
    return (long) (gateway.callerTtlSeconds() * MAX_TTL_FACTOR * 1_000);
  }

  private void check() {
    long now = gateway.loop().nanoTime();
    gateway.requestsInProgress().refuseUnservable(now);
    long millis = (now - startedAt) / NANOS_PER_MILLI;
    boolean isAddressExpired = millis >= addressLifetimeMillis();
    if (isAddressExpired) {
      gateway.frontend().stopAccepting();
    }
    boolean isIdle =
        isAddressExpired && gateway.frontend().busyConnections() == 0 && gateway.openTunnels() == 0;
    boolean isDone = isIdle && !isStateNeeded();
    long lifeMillis = gateway.graceMillis() - KILL_MARGIN_MILLIS;
    boolean isNearEnd = millis > lifeMillis - HostRegistry.LEAVE_TIMEOUT.toMillis();
    boolean isUnregistered = (isDone || isNearEnd) && isUnregistered();
    if (isDone && isUnregistered || millis > lifeMillis) {
      terminate(millis);
    }
  }

  private boolean isUnregistered() {
    CompletableFuture<Void> begun = unregistration;
    if (begun == null) {
      begun = gateway.registry().unregister();
      unregistration = begun;
    }
    return begun.isDone();
  }

  private boolean isStateNeeded() {
    long version = gateway.configurationVersion();
    boolean isNeeded = gateway.peerBootstrap().isNeeded(version);
    if (isNeeded && !isHeld) {
      isHeld = true;
      log.event("stop_held", "version", version, "reason", "no other host has the configuration");
    }
    return isNeeded;
  }

  private void terminate(long millis) {
    int unanswered = gateway.requestsInProgress().size();
    gateway.requestsInProgress().endAll();
    gateway.peers().leave();
    log.event(
        "stop",
        "ms",
        millis,
        "busy",
        gateway.frontend().busyConnections(),
        "unanswered",
        unanswered,
        "tunnels",
        gateway.openTunnels());
    log.close();
    exit.run();
  }
}
