package io.samphiredyke.core.orders;

import io.samphiredyke.core.config.Placement;
import org.jspecify.annotations.Nullable;

/**
 * Reconciliation loop of one endpoint: reads the engine's state, sends one order towards the
 * desired state, and reads the state again.
 *
 * <p>The first order of a lease is always sent, even to an engine in the desired state, so that an
 * engine that checks fencing tokens refuses orders with older ones from then on. Not thread-safe.
 */
final class EndpointReconciler {

  /** Phase of the reconciliation loop. */
  enum Phase {
    /** Waits for the time of the next read. */
    IDLE,
    /** Waits for the engine's state. */
    READING,
    /** Waits for the response to an order. */
    ORDERING
  }

  /** Number of consecutive failed reads after which an engine counts as unreachable. */
  private static final int UNREACHABLE_AFTER_READS = 5;

  private final long fence;
  private final OrderSettings settings;
  private Placement desired;
  private Phase phase = Phase.IDLE;
  private long nextAt;
  private long attempt;
  private boolean isFenced;
  private boolean needsLoad;
  private boolean isLoadFinished;
  private boolean isInDesiredState;
  private long loadNotBefore;
  private long inFlightUntil;
  private int failedReads;

  EndpointReconciler(long fence, Placement desired, OrderSettings settings, long now) {
    this.fence = fence;
    this.desired = desired;
    this.settings = settings;
    this.nextAt = now;
    this.loadNotBefore = now;
    this.inFlightUntil = now;
  }

  long fence() {
    return fence;
  }

  Phase phase() {
    return phase;
  }

  boolean needsLoad() {
    return needsLoad;
  }

  /** Returns whether the engine is known not to be loading, or is unreachable. */
  boolean isLoadFinished() {
    return isLoadFinished;
  }

  /** Returns whether no order sent by this host can still take effect. */
  boolean isSettled(long now) {
    return phase == Phase.IDLE && now >= inFlightUntil;
  }

  boolean isInDesiredState() {
    return isInDesiredState;
  }

  void setDesired(Placement placement, long now) {
    if (!placement.equals(desired)) {
      desired = placement;
      isInDesiredState = false;
      nextAt = phase == Phase.IDLE ? now : nextAt;
    }
  }

  /** Returns the attempt number of a read that is due, or 0. */
  long tick(long now, long newAttempt) {
    if (phase != Phase.IDLE && now >= nextAt) {
      callFailed(now);
    }
    if (phase != Phase.IDLE || now < nextAt) {
      return 0;
    }
    phase = Phase.READING;
    attempt = newAttempt;
    nextAt = now + settings.callTimeout();
    return newAttempt;
  }

  /** Returns the next order for the engine's state, or null. */
  @Nullable EngineOrder stateRead(
      long responseAttempt, EngineState state, boolean isLoadGranted, long now) {
    if (phase != Phase.READING || responseAttempt != attempt) {
      return null;
    }
    if (now >= nextAt) {
      callFailed(now);
      return null;
    }
    failedReads = 0;
    EngineOrder order = nextOrder(state, now);
    isInDesiredState = order == null && !state.isLoading();
    boolean isLoad = order != null && order.kind() == EngineOrder.Kind.LOAD;
    needsLoad = state.isLoading() || isLoad;
    isLoadFinished = !needsLoad && now >= inFlightUntil;
    if (order == null || (isLoad && !isLoadGranted)) {
      becomeIdle(now + (needsLoad ? settings.loadPollInterval() : settings.readInterval()));
      return null;
    }
    return order;
  }

  private @Nullable EngineOrder nextOrder(EngineState state, long now) {
    if (!isFenced) {
      return EngineOrder.role(desired.role(), fence);
    }
    if (state.isLoading()) {
      return null;
    }
    EngineOrder order = OrderPlanner.next(desired, state, fence);
    boolean isTooSoon = state.hasFailed() && now < loadNotBefore;
    return isTooSoon ? null : order;
  }

  void orderSent(EngineOrder order, long now) {
    phase = Phase.ORDERING;
    nextAt = now + settings.callTimeout();
    if (order.kind() == EngineOrder.Kind.LOAD) {
      loadNotBefore = now + settings.readInterval();
    }
    inFlightUntil = now + settings.minRemainingLease();
  }

  /** Discards an order that must not be sent. */
  void orderDropped(long now) {
    becomeIdle(now + settings.loadPollInterval());
  }

  void orderEnded(long responseAttempt, boolean isAccepted, long now) {
    if (phase != Phase.ORDERING || responseAttempt != attempt) {
      return;
    }
    isFenced |= isAccepted;
    becomeIdle(isAccepted && !needsLoad ? now : now + settings.loadPollInterval());
  }

  void readFailed(long responseAttempt, long now) {
    if (phase == Phase.READING && responseAttempt == attempt) {
      callFailed(now);
    }
  }

  private void callFailed(long now) {
    if (phase == Phase.READING) {
      failedReads++;
    }
    if (failedReads >= UNREACHABLE_AFTER_READS) {
      needsLoad = false;
      isLoadFinished = true;
    }
    becomeIdle(now + settings.loadPollInterval());
  }

  private void becomeIdle(long until) {
    phase = Phase.IDLE;
    nextAt = until;
  }
}
