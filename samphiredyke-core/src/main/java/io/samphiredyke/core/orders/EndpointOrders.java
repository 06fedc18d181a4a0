package io.samphiredyke.core.orders;

import io.samphiredyke.core.config.Placement;
import org.jspecify.annotations.Nullable;

/**
 * Brings one endpoint to the wanted state: reads its state, sends one order, reads again.
 *
 * <p>The first order of a lease always goes out, also to an engine in the wanted state, so that an
 * engine that checks fencing numbers refuses older ones from then on. Not thread-safe.
 */
final class EndpointOrders {

  /** What an endpoint's loop waits for. */
  enum Phase {
    /** For the time of its next read. */
    IDLE,
    /** For the engine's state. */
    READING,
    /** For the answer to an order. */
    ORDERING
  }

  private static final int UNREACHABLE_READS = 5;

  private final long fence;
  private final OrderSettings settings;
  private Placement wanted;
  private Phase phase = Phase.IDLE;
  private long nextAt;
  private long attempt;
  private boolean isFenced;
  private boolean wantsLoad;
  private boolean isLoadOver;
  private boolean isInWantedState;
  private long loadNotBefore;
  private long inFlightUntil;
  private int failedReads;

  EndpointOrders(long fence, Placement wanted, OrderSettings settings, long now) {
    this.fence = fence;
    this.wanted = wanted;
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

  boolean wantsLoad() {
    return wantsLoad;
  }

  /** Returns whether the engine is known not to load, or is out of reach. */
  boolean isLoadOver() {
    return isLoadOver;
  }

  /** Returns whether no order sent from here can still take effect. */
  boolean isSettled(long now) {
    return phase == Phase.IDLE && now >= inFlightUntil;
  }

  boolean isInWantedState() {
    return isInWantedState;
  }

  void want(Placement placement, long now) {
    if (!placement.equals(wanted)) {
      wanted = placement;
      isInWantedState = false;
      nextAt = phase == Phase.IDLE ? now : nextAt;
    }
  }

  /** Returns the attempt of a read that is due, or 0. */
  long tick(long now, long newAttempt) {
    if (phase != Phase.IDLE && now >= nextAt) {
      failed(now);
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
      failed(now);
      return null;
    }
    failedReads = 0;
    EngineOrder order = nextOrder(state, now);
    isInWantedState = order == null && !state.isLoading();
    boolean isLoad = order != null && order.kind() == EngineOrder.Kind.LOAD;
    wantsLoad = state.isLoading() || isLoad;
    isLoadOver = !wantsLoad && now >= inFlightUntil;
    if (order == null || (isLoad && !isLoadGranted)) {
      idle(now + (wantsLoad ? settings.loadPollInterval() : settings.readInterval()));
      return null;
    }
    return order;
  }

  private @Nullable EngineOrder nextOrder(EngineState state, long now) {
    if (!isFenced) {
      return EngineOrder.role(wanted.role(), fence);
    }
    if (state.isLoading()) {
      return null;
    }
    EngineOrder order = Reconciler.next(wanted, state, fence);
    boolean isTooSoon = state.hasFailed() && now < loadNotBefore;
    return isTooSoon ? null : order;
  }

  void ordering(EngineOrder order, long now) {
    phase = Phase.ORDERING;
    nextAt = now + settings.callTimeout();
    if (order.kind() == EngineOrder.Kind.LOAD) {
      loadNotBefore = now + settings.readInterval();
    }
    inFlightUntil = now + settings.minRemainingLease();
  }

  /** Drops an order that may not be sent. */
  void dropped(long now) {
    idle(now + settings.loadPollInterval());
  }

  void orderEnded(long answered, boolean isAccepted, long now) {
    if (phase != Phase.ORDERING || answered != attempt) {
      return;
    }
    isFenced |= isAccepted;
    idle(isAccepted && !wantsLoad ? now : now + settings.loadPollInterval());
  }

  void readFailed(long answered, long now) {
    if (phase == Phase.READING && answered == attempt) {
      failed(now);
    }
  }

  private void failed(long now) {
    if (phase == Phase.READING) {
      failedReads++;
    }
    if (failedReads >= UNREACHABLE_READS) {
      wantsLoad = false;
      isLoadOver = true;
    }
    idle(now + settings.loadPollInterval());
  }

  private void idle(long until) {
    phase = Phase.IDLE;
    nextAt = until;
  }
}
