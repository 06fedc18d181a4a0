package io.samphiredyke.gateway.place;

import io.samphiredyke.core.pool.Claim;
import io.samphiredyke.core.pool.PoolListener;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.pool.Refusal;
import io.samphiredyke.core.pool.Work;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/** The scheduler of this host, as it serves this host and those that chose it. */
final class SchedulerService implements PoolListener {

  /** Receives the decisions on claims of this host. */
  interface Owner {

    /** A claim of this host got a place. */
    void granted(Claim claim, String endpointId);

    /** A claim of this host gets no place. */
    void refused(long claimId, Refusal refusal);
  }

  private static final double NANOS_PER_MILLI = 1e6;

  private final String self;
  private final Owner localListener;
  private final BiConsumer<String, PlaceMessage> transport;
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
      Owner owner,
      BiConsumer<String, PlaceMessage> transport,
      Runnable onWaiting) {
    this.self = self;
    this.localListener = owner;
    this.transport = transport;
    this.onWaiting = onWaiting;
    this.scheduler = new PoolScheduler(options, this, random);
  }

  PoolScheduler scheduler() {
    return scheduler;
  }

  /** Takes a message of a host that chose this one. */
  void received(String from, PlaceMessage message, long now) {
    if (message instanceof PlaceMessage.Ask ask) {
      receivedAcquire(from, ask, now);
    } else if (message instanceof PlaceMessage.Withdrawn withdrawn) {
      scheduler.withdraw(withdrawn.service(), withdrawn.slotRequestId());
    } else if (message instanceof PlaceMessage.Started started) {
      scheduler.started(
          started.service(), started.endpointId(), started.slotRequestId(), started.millis());
    } else if (message instanceof PlaceMessage.Released released) {
      scheduler.release(
          released.service(),
          released.endpointId(),
          released.slotRequestId(),
          released.outcome(),
          released.millis(),
          now);
    } else if (message instanceof PlaceMessage.Holding holding) {
      reconcile(from, holding, now);
    }
  }

  private void receivedAcquire(String from, PlaceMessage.Ask ask, long now) {
    String holder = scheduler.endpointOf(ask.service(), ask.slotRequestId());
    if (holder != null) {
      transport.accept(from, new PlaceMessage.Granted(ask.slotRequestId(), holder));
      return;
    }
    if (!scheduler.isWaiting(ask.service(), ask.slotRequestId())) {
      scheduler.claim(toSlotRequest(from, ask, now), now);
      onWaiting.run();
    }
    if (scheduler.isWaiting(ask.service(), ask.slotRequestId())) {
      transport.accept(from, new PlaceMessage.Queued(ask.slotRequestId()));
    }
  }

  private static Claim toSlotRequest(String from, PlaceMessage.Ask ask, long now) {
    return new Claim(
        ask.slotRequestId(),
        from,
        ask.service(),
        ask.priority(),
        ask.value(),
        ask.estimate(),
        ask.customer(),
        ask.quotaUnits(),
        ask.isRetry(),
        ask.excluded(),
        now + (long) (ask.objectiveMillis() * NANOS_PER_MILLI),
        now + (long) (ask.startDeadlineMillis() * NANOS_PER_MILLI));
  }

  private void reconcile(String from, PlaceMessage.Holding holding, long now) {
    Set<Long> ids = new HashSet<>();
    holding.slots().forEach(held -> ids.add(held.slotRequestId()));
    scheduler.reconcile(from, ids, now);
    for (PlaceMessage.Held held : holding.slots()) {
      if (scheduler.endpointOf(held.service(), held.slotRequestId()) == null) {
        scheduler.adopt(held.endpointId(), toHeldRequest(from, held, now), now);
      }
    }
    holding
        .remoteUsage()
        .forEach((customer, units) -> scheduler.usedElsewhere(customer, units, now));
  }

  private static Claim toHeldRequest(String owner, PlaceMessage.Held held, long now) {
    Work work =
        held.promptTokens() == 0
            ? Work.PLAIN
            : new Work(held.promptTokens(), held.outputTokens(), List.of());
    return new Claim(
        held.slotRequestId(), owner, held.service(), 0, 1, work, "", 0, false, Set.of(), now, now);
  }

  @Override
  public void granted(Claim claim, String endpointId) {
    if (!claim.owner().equals(self)) {
      transport.accept(claim.owner(), new PlaceMessage.Granted(claim.id(), endpointId));
    } else {
      localListener.granted(claim, endpointId);
    }
  }

  @Override
  public void refused(Claim claim, Refusal refusal) {
    if (!claim.owner().equals(self)) {
      transport.accept(
          claim.owner(),
          new PlaceMessage.Refused(claim.id(), refusal.reason(), refusal.retryAfterMillis()));
    } else {
      localListener.refused(claim.id(), refusal);
    }
  }
}
