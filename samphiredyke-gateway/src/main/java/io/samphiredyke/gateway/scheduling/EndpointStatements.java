package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.EndpointLimits;
import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Passes on what endpoints state about themselves in their responses, to the schedulers of all
 * hosts.
 *
 * <p>A change goes to all hosts at once, because any of them may have to schedule. Each further
 * statement goes to the scheduler that granted the request, which compensates for lost messages.
 */
public final class EndpointStatements {

  private final ControlEventLoop loop;
  private final String self;
  private final PoolScheduler scheduler;
  private final BiConsumer<String, SchedulingMessage> transport;
  private final Consumer<SchedulingMessage> broadcast;
  private final DecisionLog log;
  private final EndpointLimits limits = new EndpointLimits();
  private LeavingListener leavingListener = (endpointId, startedAtMillis) -> false;

  /** Excludes an instance of an endpoint that stated that it leaves. */
  public interface LeavingListener {

    /**
     * Called for each such statement.
     *
     * @return whether the endpoint accepted requests until now
     */
    boolean leaving(String endpointId, long startedAtMillis);
  }

  /**
   * Creates an instance that knows no statements.
   *
   * @param scheduler scheduler of this host
   * @param transport sends a message to a peer address
   * @param broadcast sends a message to all other hosts
   */
  EndpointStatements(
      ControlEventLoop loop,
      String self,
      PoolScheduler scheduler,
      BiConsumer<String, SchedulingMessage> transport,
      Consumer<SchedulingMessage> broadcast,
      DecisionLog log) {
    this.loop = loop;
    this.self = self;
    this.scheduler = scheduler;
    this.transport = transport;
    this.broadcast = broadcast;
    this.log = log;
  }

  /**
   * Records the limit of a response.
   *
   * @param perSecond stated limit in requests per second, {@link EndpointLimits#NONE} for none
   * @param requestId id of the request, for the log
   * @param sentAt when the request was sent
   * @param grantedBy peer address of the scheduler that granted the slot
   */
  public void limitStated(
      String endpointId, double perSecond, String requestId, long sentAt, String grantedBy) {
    EndpointLimits.Effect effect = limits.responded(endpointId, perSecond, sentAt, loop.nanoTime());
    if (effect == EndpointLimits.Effect.NONE) {
      return;
    }
    scheduler.limit(endpointId, perSecond, loop.nanoTime());
    SchedulingMessage message = new SchedulingMessage.EndpointLimit(endpointId, perSecond);
    if (effect == EndpointLimits.Effect.CHANGED) {
      log.event(
          "endpoint_limit",
          "endpoint",
          endpointId,
          "per_second",
          describe(perSecond),
          "source",
          requestId);
      broadcast.accept(message);
    } else if (!grantedBy.equals(self)) {
      transport.accept(grantedBy, message);
    }
  }

  /** Handles the message of another host. */
  void received(String from, SchedulingMessage.EndpointLimit message) {
    double perSecond = message.requestsPerSecond();
    if (limits.announced(message.endpointId(), perSecond, loop.nanoTime())) {
      log.event(
          "endpoint_limit",
          "endpoint",
          message.endpointId(),
          "per_second",
          describe(perSecond),
          "source",
          from);
    }
    scheduler.limit(message.endpointId(), perSecond, loop.nanoTime());
  }

  /** Sets the listener for endpoints that leave. */
  public void setLeavingListener(LeavingListener listener) {
    leavingListener = listener;
  }

  /** Records that an endpoint stated in a response that it leaves. */
  public void leavingStated(EndpointRecord endpoint) {
    if (leavingListener.leaving(endpoint.id(), endpoint.startedAtMillis())) {
      broadcast.accept(
          new SchedulingMessage.EndpointLeaving(endpoint.id(), endpoint.startedAtMillis()));
    }
  }

  /** Handles the message of another host. */
  void received(SchedulingMessage.EndpointLeaving message) {
    leavingListener.leaving(message.endpointId(), message.startedAtMillis());
  }

  private static String describe(double perSecond) {
    return perSecond == EndpointLimits.NONE ? "none" : Double.toString(perSecond);
  }

  /** Ends limits that no response has confirmed for long. */
  void expire() {
    for (String endpointId : limits.expire(loop.nanoTime())) {
      log.event(
          "endpoint_limit", "endpoint", endpointId, "per_second", "none", "source", "expired");
      scheduler.limit(endpointId, EndpointLimits.NONE, loop.nanoTime());
    }
  }

  /** Returns the number of endpoints with a limit. */
  public int limitedEndpoints() {
    return limits.size();
  }
}
