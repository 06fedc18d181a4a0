package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.EndpointLimits;
import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.ObjDoubleConsumer;

/**
 * Passes on what endpoints state about themselves in their responses, to the schedulers of all
 * hosts.
 *
 * <p>A change goes to all hosts at once, because any of them may have to schedule. Each further
 * statement goes to the scheduler that granted the request, which compensates for lost messages.
 */
public final class EndpointStatements {

  /** Endpoints whose unusable values are logged; bounds the memory for those that are gone. */
  private static final int MAX_REJECTED = 1_000;

  private final ControlEventLoop loop;
  private final String self;
  private final BiConsumer<String, SchedulingMessage> transport;
  private final Consumer<SchedulingMessage> broadcast;
  private final DecisionLog log;
  private final Figure limits;
  private final Figure refusals;
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
    this.transport = transport;
    this.broadcast = broadcast;
    this.log = log;
    this.limits =
        new Figure(
            "endpoint_limit",
            (id, perSecond) -> scheduler.limit(id, perSecond, loop.nanoTime()),
            SchedulingMessage.EndpointLimit::new);
    this.refusals =
        new Figure(
            "endpoint_brittle",
            (id, perSecond) -> scheduler.tolerateRefusals(id, perSecond, loop.nanoTime()),
            SchedulingMessage.EndpointBrittle::new);
  }

  /**
   * Records the limit of a response.
   *
   * @param perSecond stated limit in requests per second, {@link EndpointLimits#NONE} for none, NaN
   *     for an unusable value
   * @param requestId id of the request, for the log
   * @param sentAt when the request was sent
   * @param grantedBy peer address of the scheduler that granted the slot
   */
  public void limitStated(
      String endpointId, double perSecond, String requestId, long sentAt, String grantedBy) {
    limits.stated(endpointId, perSecond, requestId, sentAt, grantedBy);
  }

  /**
   * Records the brittleness of a response.
   *
   * @param perSecond refusals for want of room a second beyond which the endpoint fails, {@link
   *     EndpointLimits#NONE} if it is not brittle, NaN for an unusable value
   * @param requestId id of the request, for the log
   * @param sentAt when the request was sent
   * @param grantedBy peer address of the scheduler that granted the slot
   */
  public void brittlenessStated(
      String endpointId, double perSecond, String requestId, long sentAt, String grantedBy) {
    refusals.stated(endpointId, perSecond, requestId, sentAt, grantedBy);
  }

  /** Handles the message of another host. */
  void received(String from, SchedulingMessage.EndpointLimit message) {
    limits.announced(message.endpointId(), message.requestsPerSecond(), from);
  }

  /** Handles the message of another host. */
  void received(String from, SchedulingMessage.EndpointBrittle message) {
    refusals.announced(message.endpointId(), message.refusalsPerSecond(), from);
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

  /** Tells a new host what endpoints state; of all hosts, only the two assigned to it do. */
  void memberReturned(String host, SchedulerSelector selector) {
    if (selector.candidates(host, loop.nanoTime()).contains(self)) {
      limits.tell(host);
      refusals.tell(host);
    }
  }

  /** Ends figures that no response has confirmed for long. */
  void expire() {
    limits.expire();
    refusals.expire();
  }

  /** Returns the number of endpoints with a limit. */
  public int limitedEndpoints() {
    return limits.known.size();
  }

  /** Returns the number of endpoints that are brittle. */
  public int brittleEndpoints() {
    return refusals.known.size();
  }

  /** A number a second that endpoints state in each response as long as it holds. */
  private final class Figure {

    private final String event;
    private final ObjDoubleConsumer<String> onChange;
    private final BiFunction<String, Double, SchedulingMessage> message;
    private final EndpointLimits known = new EndpointLimits();
    private final Set<String> rejected = new HashSet<>();

    /**
     * Creates a figure that no endpoint has stated.
     *
     * @param event name of the log lines
     * @param onChange applies it to the scheduler of this host
     * @param message creates the message for the other hosts
     */
    Figure(
        String event,
        ObjDoubleConsumer<String> onChange,
        BiFunction<String, Double, SchedulingMessage> message) {
      this.event = event;
      this.onChange = onChange;
      this.message = message;
    }

    void stated(
        String endpointId, double perSecond, String requestId, long sentAt, String grantedBy) {
      if (Double.isNaN(perSecond)) {
        rejected(endpointId, requestId);
        return;
      }
      EndpointLimits.Effect effect =
          known.responded(endpointId, perSecond, sentAt, loop.nanoTime());
      if (effect == EndpointLimits.Effect.NONE) {
        return;
      }
      onChange.accept(endpointId, perSecond);
      if (effect == EndpointLimits.Effect.CHANGED) {
        logChange(endpointId, perSecond, requestId);
        broadcast.accept(message.apply(endpointId, perSecond));
      } else if (!grantedBy.equals(self)) {
        transport.accept(grantedBy, message.apply(endpointId, perSecond));
      }
    }

    /** Logs the first unusable value of an endpoint; it changes nothing. */
    private void rejected(String endpointId, String requestId) {
      if (rejected.size() < MAX_REJECTED && rejected.add(endpointId)) {
        log.event(event + "_rejected", "endpoint", endpointId, "source", requestId);
      }
    }

    void announced(String endpointId, double perSecond, String from) {
      if (known.announced(endpointId, perSecond, loop.nanoTime())) {
        logChange(endpointId, perSecond, from);
      }
      onChange.accept(endpointId, perSecond);
    }

    void tell(String host) {
      known.forEach((id, perSecond) -> transport.accept(host, message.apply(id, perSecond)));
    }

    void expire() {
      for (String endpointId : known.expire(loop.nanoTime())) {
        logChange(endpointId, EndpointLimits.NONE, "expired");
        onChange.accept(endpointId, EndpointLimits.NONE);
      }
    }

    private void logChange(String endpointId, double perSecond, String source) {
      String stated = perSecond == EndpointLimits.NONE ? "none" : Double.toString(perSecond);
      log.event(event, "endpoint", endpointId, "per_second", stated, "source", source);
    }
  }
}
