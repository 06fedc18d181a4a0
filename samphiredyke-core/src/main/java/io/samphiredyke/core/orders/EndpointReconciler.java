package io.samphiredyke.core.orders;

import io.samphiredyke.core.config.Placement;
import org.jspecify.annotations.Nullable;

/**
 * Brings one endpoint to the wanted state: reads its state, sends one order, reads again.
 *
 * <p>The first order of a lease always goes out, also to an engine in the wanted state, so that an
 * engine that checks fencing numbers refuses older ones from then on. Not thread-safe.
 */
final class EndpointReconciler {

  /** What an endpoint's loop waits for. */
  enum Phase {
    /** For the time of its next read. */
    IDLE,
    /** For the engine's state. */
    READING,
    /** For the answer to an order. */
    ORDERING
  }

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

  EndpointReconciler(long fence, Placement wanted, OrderSettings settings, long now) {
    this.fence = fence;
    this.desired = wanted;
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

  /** Returns whether the engine is known not to load, or is out of reach. */
  boolean isLoadFinished() {
    return isLoadFinished;
  }

  /** Returns whether no order sent from here can still take effect. */
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

  /** Returns the attempt of a read that is due, or 0. */
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

  /** Returns the order that follows from the engine's state, or null. */
  @Nullable EngineOrder stateRead(
      long answered, EngineState state, boolean isLoadGranted, long now) {
    if (phase != Phase.READING || answered != attempt) {
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

  /** Drops an order that may not be sent. */
  void orderDropped(long now) {
    becomeIdle(now + settings.loadPollInterval());
  }

  void orderEnded(long answered, boolean isAccepted, long now) {
    if (phase != Phase.ORDERING || answered != attempt) {
      return;
    }
    isFenced |= isAccepted;
    becomeIdle(isAccepted && !needsLoad ? now : now + settings.loadPollInterval());
  }

  void readFailed(long answered, long now) {
    if (phase == Phase.READING && answered == attempt) {
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
