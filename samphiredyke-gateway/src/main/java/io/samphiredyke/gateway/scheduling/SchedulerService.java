package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.PoolListener;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.SlotRequest;
import io.samphiredyke.core.pool.WorkEstimate;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/** Runs the scheduler of this host for its own requests and for hosts that selected it. */
final class SchedulerService implements PoolListener {

  /** Receives the decisions on slot requests of this host. */
  interface LocalDecisionListener {

    /** Called when a slot request of this host is granted. */
    void granted(SlotRequest request, String endpointId);

    /** Called when a slot request of this host is refused. */
    void refused(long slotRequestId, SlotRefusal refusal);
  }

  private static final double NANOS_PER_MILLI = 1e6;

  private final String self;
  private final LocalDecisionListener localListener;
  private final BiConsumer<String, SchedulingMessage> transport;
  private final Runnable onWaiting;
  private final PoolScheduler scheduler;
  private final Deque<Runnable> undelivered = new ArrayDeque<>();
  private boolean isDelivering;

  /**
   * Creates the scheduler.
   *
   * @param onWaiting runs when a slot request of another host has arrived that may have to wait
   */
  SchedulerService(
      String self,
      PoolOptions options,
      RandomGenerator random,
      LocalDecisionListener localListener,
      BiConsumer<String, SchedulingMessage> transport,
      Runnable onWaiting) {
    this.self = self;
    this.localListener = localListener;
    this.transport = transport;
    this.onWaiting = onWaiting;
    this.scheduler = new PoolScheduler(options, this, random);
  }

  PoolScheduler scheduler() {
    return scheduler;
  }

  /** Handles a message of a host that selected this one. */
  void received(String from, SchedulingMessage message, long now) {
    if (message instanceof SchedulingMessage.Acquire acquire) {
      receivedAcquire(from, acquire, now);
    } else if (message instanceof SchedulingMessage.Withdrawn withdrawn) {
      scheduler.withdraw(withdrawn.service(), withdrawn.slotRequestId());
    } else if (message instanceof SchedulingMessage.Started started) {
      scheduler.firstEvent(
          started.service(), started.endpointId(), started.slotRequestId(), started.millis());
    } else if (message instanceof SchedulingMessage.Released released) {
      scheduler.release(
          released.service(),
          released.endpointId(),
          released.slotRequestId(),
          released.outcome(),
          released.millis(),
          now);
    } else if (message instanceof SchedulingMessage.EndpointFull full) {
      scheduler.refusedElsewhere(full.endpointId(), full.slotRequestId(), now);
    } else if (message instanceof SchedulingMessage.HeldSlotsReport report) {
      reconcile(from, report, now);
    }
  }

  private void receivedAcquire(String from, SchedulingMessage.Acquire acquire, long now) {
    String endpointId = scheduler.endpointOf(acquire.service(), acquire.slotRequestId());
    if (endpointId != null) {
      transport.accept(from, new SchedulingMessage.Granted(acquire.slotRequestId(), endpointId));
      return;
    }
    if (!scheduler.isWaiting(acquire.service(), acquire.slotRequestId())) {
      scheduler.submit(toSlotRequest(from, acquire, now), now);
      onWaiting.run();
    }
    if (scheduler.isWaiting(acquire.service(), acquire.slotRequestId())) {
      transport.accept(from, new SchedulingMessage.Queued(acquire.slotRequestId()));
    }
  }

  private static SlotRequest toSlotRequest(
      String from, SchedulingMessage.Acquire acquire, long now) {
    return new SlotRequest(
        acquire.slotRequestId(),
        from,
        acquire.service(),
        acquire.route(),
        acquire.rank(),
        acquire.value(),
        acquire.estimate(),
        acquire.customer(),
        acquire.quotaUnits(),
        acquire.isRetry(),
        acquire.excluded(),
        acquire.isolated(),
        now + (long) (acquire.objectiveMillis() * NANOS_PER_MILLI),
        now + (long) (acquire.startDeadlineMillis() * NANOS_PER_MILLI));
  }

  /**
   * Tells the hosts that may schedule a service besides the one that granted a request that a
   * brittle endpoint refused the request.
   *
   * @param schedulers the hosts, which may include the one that granted it
   */
  void stateRefusal(LocalSlotRequest refused, Collection<String> schedulers, long now) {
    String endpointId = refused.endpointId();
    if (!scheduler.isBrittle(endpointId)) {
      return;
    }
    long id = refused.request.id();
    for (String host : schedulers) {
      if (host.equals(refused.scheduler)) {
        continue;
      }
      if (host.equals(self)) {
        scheduler.refusedElsewhere(endpointId, id, now);
      } else {
        transport.accept(host, new SchedulingMessage.EndpointFull(endpointId, id));
      }
    }
  }

  private void reconcile(String from, SchedulingMessage.HeldSlotsReport report, long now) {
    Set<Long> ids = new HashSet<>();
    report.slots().forEach(held -> ids.add(held.slotRequestId()));
    scheduler.reconcile(from, ids, now);
    for (SchedulingMessage.HeldSlot held : report.slots()) {
      if (scheduler.endpointOf(held.service(), held.slotRequestId()) == null) {
        scheduler.restoreGrant(held.endpointId(), toHeldRequest(from, held, now), now);
      }
    }
    report
        .remoteUsage()
        .forEach((customer, units) -> scheduler.recordRemoteUsage(customer, units, now));
  }

  private static SlotRequest toHeldRequest(
      String requester, SchedulingMessage.HeldSlot held, long now) {
    WorkEstimate estimate =
        held.promptTokens() == 0
            ? WorkEstimate.PLAIN
            : new WorkEstimate(held.promptTokens(), held.outputTokens(), List.of());
    return new SlotRequest(
        held.slotRequestId(),
        requester,
        held.service(),
        "",
        0,
        1,
        estimate,
        "",
        0,
        false,
        Set.of(),
        held.isolated(),
        now,
        now);
  }

  @Override
  public void granted(SlotRequest request, String endpointId) {
    if (!request.requester().equals(self)) {
      transport.accept(
          request.requester(), new SchedulingMessage.Granted(request.id(), endpointId));
    } else {
      deliver(() -> localListener.granted(request, endpointId));
    }
  }

  /**
   * Delivers a decision after those that are being delivered. A listener may return a slot, which
   * grants it to the next request; nested, such grants to many waiting requests overflow the stack.
   */
  private void deliver(Runnable decision) {
    undelivered.add(decision);
    if (isDelivering) {
      return;
    }
    isDelivering = true;
    try {
      while (!undelivered.isEmpty()) {
        undelivered.remove().run();
      }
    } finally {
      isDelivering = false;
    }
  }

  @Override
  public void refused(SlotRequest request, SlotRefusal refusal) {
    if (!request.requester().equals(self)) {
      transport.accept(
          request.requester(),
          new SchedulingMessage.Refused(
              request.id(), refusal.reason(), refusal.retryAfterMillis()));
    } else {
      deliver(() -> localListener.refused(request.id(), refusal));
    }
  }
}
