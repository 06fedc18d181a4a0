package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.PoolListener;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.SlotRequest;
import io.samphiredyke.core.pool.WorkEstimate;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/** The scheduler of this host, as it serves this host and those that chose it. */
final class SchedulerService implements PoolListener {

  /** Receives the decisions on claims of this host. */
  interface LocalDecisionListener {

    /** A claim of this host got a place. */
    void granted(SlotRequest claim, String endpointId);

    /** A claim of this host gets no place. */
    void refused(long claimId, SlotRefusal refusal);
  }

  private static final double NANOS_PER_MILLI = 1e6;

  private final String self;
  private final LocalDecisionListener owner;
  private final BiConsumer<String, SchedulingMessage> transport;
  private final Runnable onWaiting;
  private final PoolScheduler scheduler;

  /**
   * Creates the scheduler.
   *
   * @param onWaiting is run when a claim of another host arrived that may have to wait
   */
  SchedulerService(
      String self,
      PoolOptions options,
      RandomGenerator random,
      LocalDecisionListener owner,
      BiConsumer<String, SchedulingMessage> transport,
      Runnable onWaiting) {
    this.self = self;
    this.owner = owner;
    this.transport = transport;
    this.onWaiting = onWaiting;
    this.scheduler = new PoolScheduler(options, this, random);
  }

  PoolScheduler scheduler() {
    return scheduler;
  }

  /** Takes a message of a host that chose this one. */
  void received(String from, SchedulingMessage message, long now) {
    if (message instanceof SchedulingMessage.Acquire ask) {
      asked(from, ask, now);
    } else if (message instanceof SchedulingMessage.Withdrawn withdrawn) {
      scheduler.withdraw(withdrawn.service(), withdrawn.claimId());
    } else if (message instanceof SchedulingMessage.Started started) {
      scheduler.firstEvent(
          started.service(), started.endpointId(), started.claimId(), started.millis());
    } else if (message instanceof SchedulingMessage.Released released) {
      scheduler.release(
          released.service(),
          released.endpointId(),
          released.claimId(),
          released.outcome(),
          released.millis(),
          now);
    } else if (message instanceof SchedulingMessage.HeldSlotsReport holding) {
      reconcile(from, holding, now);
    }
  }

  private void asked(String from, SchedulingMessage.Acquire ask, long now) {
    String holder = scheduler.endpointOf(ask.service(), ask.claimId());
    if (holder != null) {
      transport.accept(from, new SchedulingMessage.Granted(ask.claimId(), holder));
      return;
    }
    if (!scheduler.isWaiting(ask.service(), ask.claimId())) {
      scheduler.submit(claim(from, ask, now), now);
      onWaiting.run();
    }
    if (scheduler.isWaiting(ask.service(), ask.claimId())) {
      transport.accept(from, new SchedulingMessage.Queued(ask.claimId()));
    }
  }

  private static SlotRequest claim(String from, SchedulingMessage.Acquire ask, long now) {
    return new SlotRequest(
        ask.claimId(),
        from,
        ask.service(),
        ask.rank(),
        ask.value(),
        ask.work(),
        ask.customer(),
        ask.quotaUnits(),
        ask.isRepeat(),
        ask.excluded(),
        now + (long) (ask.dueMillis() * NANOS_PER_MILLI),
        now + (long) (ask.patienceMillis() * NANOS_PER_MILLI));
  }

  private void reconcile(String from, SchedulingMessage.HeldSlotsReport holding, long now) {
    Set<Long> ids = new HashSet<>();
    holding.places().forEach(held -> ids.add(held.claimId()));
    scheduler.reconcile(from, ids, now);
    for (SchedulingMessage.HeldSlot held : holding.places()) {
      if (scheduler.endpointOf(held.service(), held.claimId()) == null) {
        scheduler.restoreGrant(held.endpointId(), adopted(from, held, now), now);
      }
    }
    holding
        .usedElsewhere()
        .forEach((customer, units) -> scheduler.recordRemoteUsage(customer, units, now));
  }

  private static SlotRequest adopted(String owner, SchedulingMessage.HeldSlot held, long now) {
    WorkEstimate work =
        held.promptTokens() == 0
            ? WorkEstimate.PLAIN
            : new WorkEstimate(held.promptTokens(), held.outputTokens(), List.of());
    return new SlotRequest(
        held.claimId(), owner, held.service(), 0, 1, work, "", 0, false, Set.of(), now, now);
  }

  @Override
  public void granted(SlotRequest claim, String endpointId) {
    if (!claim.requester().equals(self)) {
      transport.accept(claim.requester(), new SchedulingMessage.Granted(claim.id(), endpointId));
    } else {
      owner.granted(claim, endpointId);
    }
  }

  @Override
  public void refused(SlotRequest claim, SlotRefusal refusal) {
    if (!claim.requester().equals(self)) {
      transport.accept(
          claim.requester(),
          new SchedulingMessage.Refused(claim.id(), refusal.reason(), refusal.retryAfterMillis()));
    } else {
      owner.refused(claim.id(), refusal);
    }
  }
}
