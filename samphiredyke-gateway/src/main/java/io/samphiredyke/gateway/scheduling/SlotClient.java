package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.pool.QuotaLedger;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.SlotRequest;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/**
 * Gets places for the requests of this host, and schedules for other hosts where this one is
 * chosen.
 *
 * <p>A question that gets no sign within {@link #ASK_AGAIN_MILLIS} is sent again; after {@link
 * #MAX_UNANSWERED} of them the next host in the ranking is asked, at last this host's own
 * scheduler. Nothing waits on a host that is gone, frozen or cut off for longer than that.
 */
public final class SlotClient implements SchedulerService.LocalDecisionListener {

  /** Time to an answer on a busy host between two data centres is a few milliseconds. */
  static final long ASK_AGAIN_MILLIS = 25;

  /** Questions without a sign after which another scheduler is asked. */
  static final int MAX_UNANSWERED = 2;

  /** How often a waiting claim is repeated to its scheduler as a sign of life. */
  private static final long CONFIRM_MILLIS = 150;

  private static final Duration TICK = Duration.ofMillis(15);
  private static final Duration REPORT = Duration.ofMillis(500);

  /**
   * How far back a scheduler that takes over is told what others granted: since the report before.
   * What lies further back is covered by the small part of the burst that it begins with; to
   * subtract it as well would refuse a customer for as many seconds as it has been steady.
   */
  private static final Duration LEDGER_REACH = REPORT;

  private static final double NANOS_PER_MILLI = 1e6;

  private final ControlEventLoop loop;
  private final String self;
  private final SchedulerService service;
  private final PoolScheduler scheduler;
  private final SchedulerSelector choice;
  private final BiConsumer<String, SchedulingMessage> transport;
  private final DecisionLog log;
  private final Map<Long, LocalSlotRequest> claims = new HashMap<>();
  private final Set<String> reportedTo = new HashSet<>();
  private final QuotaLedger ledger = new QuotaLedger(LEDGER_REACH.toNanos());
  private final RandomGenerator random;
  private boolean ticking;

  /**
   * Creates a client that asks only its own scheduler until members are known.
   *
   * @param transport sends a message to a peer address
   */
  SlotClient(
      ControlEventLoop loop,
      String self,
      PoolOptions options,
      RandomGenerator random,
      DecisionLog log,
      BiConsumer<String, SchedulingMessage> transport) {
    this.loop = loop;
    this.self = self;
    this.random = random;
    this.log = log;
    this.transport = transport;
    this.choice = new SchedulerSelector(self);
    this.service = new SchedulerService(self, options, random, this, transport, this::startTicking);
    this.scheduler = service.scheduler();
  }

  /** Starts the reports to other schedulers. */
  void start() {
    loop.scheduleWithFixedDelay(this::report, REPORT);
  }

  /** Returns the scheduler of this host, to feed it with endpoints and configuration. */
  public PoolScheduler scheduler() {
    return scheduler;
  }

  SchedulerSelector choice() {
    return choice;
  }

  /** Asks for a place; returns the claim's number. */
  public long ask(SlotRequirements request, AcquisitionListener listener) {
    long id = random.nextLong();
    SlotRequest claim =
        new SlotRequest(
            id,
            self,
            request.service(),
            request.rank(),
            request.value(),
            request.work(),
            request.customer(),
            request.quotaUnits(),
            request.isRepeat(),
            request.excluded(),
            request.dueAt(),
            request.patienceUntil());
    LocalSlotRequest pending = new LocalSlotRequest(this, claim, listener);
    claims.put(id, pending);
    askScheduler(pending);
    return id;
  }

  private void askScheduler(LocalSlotRequest pending) {
    long now = loop.nanoTime();
    String chosen = choice.scheduler(pending.claim.service(), now);
    pending.scheduler = chosen;
    pending.unanswered = 0;
    if (chosen.equals(self)) {
      scheduler.submit(pending.claim, now);
    } else {
      sendAsk(pending, now);
    }
    startTicking();
  }

  private void sendAsk(LocalSlotRequest pending, long now) {
    pending.askedAt = now;
    pending.unanswered++;
    SlotRequest claim = pending.claim;
    transport.accept(
        pending.scheduler,
        new SchedulingMessage.Acquire(
            claim.id(),
            claim.service(),
            claim.rank(),
            claim.value(),
            claim.estimate(),
            claim.customer(),
            claim.quotaUnits(),
            claim.isRetry(),
            claim.excluded(),
            millis(claim.objectiveDeadline() - now),
            millis(claim.startDeadline() - now)));
  }

  private static long millis(long nanos) {
    return (long) (nanos / NANOS_PER_MILLI);
  }

  /** Forgets a claim that has no place yet. */
  public void withdraw(long claimId) {
    LocalSlotRequest pending = claims.remove(claimId);
    if (pending == null || pending.isGranted()) {
      return;
    }
    pending.done = true;
    withdrawFromScheduler(pending);
  }

  void started(LocalSlotRequest pending) {
    double millis = (loop.nanoTime() - pending.grantedAt) / NANOS_PER_MILLI;
    String service = pending.claim.service();
    long id = pending.claim.id();
    if (pending.scheduler.equals(self)) {
      scheduler.firstEvent(service, pending.endpointId(), id, millis);
    } else {
      transport.accept(
          pending.scheduler,
          new SchedulingMessage.Started(service, pending.endpointId(), id, millis));
    }
  }

  void release(LocalSlotRequest pending, Outcome outcome) {
    if (pending.done) {
      return;
    }
    pending.done = true;
    claims.remove(pending.claim.id());
    double millis = (loop.nanoTime() - pending.grantedAt) / NANOS_PER_MILLI;
    sendRelease(pending, pending.endpointId(), outcome, millis);
  }

  private void sendRelease(
      LocalSlotRequest pending, String endpoint, Outcome outcome, double millis) {
    String service = pending.claim.service();
    long id = pending.claim.id();
    if (pending.scheduler.equals(self)) {
      scheduler.release(service, endpoint, id, outcome, millis, loop.nanoTime());
    } else {
      transport.accept(
          pending.scheduler,
          new SchedulingMessage.Released(service, endpoint, id, outcome, millis));
    }
  }

  private void startTicking() {
    if (!ticking) {
      ticking = true;
      loop.schedule(this::tick, TICK);
    }
  }

  private void tick() {
    ticking = false;
    long now = loop.nanoTime();
    scheduler.tick(now);
    boolean isWaiting = false;
    for (LocalSlotRequest pending : List.copyOf(claims.values())) {
      if (!pending.isGranted()) {
        isWaiting = true;
        check(pending, now);
      }
    }
    if (isWaiting || scheduler.hasWaiting()) {
      startTicking();
    }
  }

  private void check(LocalSlotRequest pending, long now) {
    if (!choice.scheduler(pending.claim.service(), now).equals(pending.scheduler)) {
      withdrawFromScheduler(pending);
      askScheduler(pending);
      return;
    }
    if (pending.scheduler.equals(self)) {
      return;
    }
    double sinceAsked = (now - pending.askedAt) / NANOS_PER_MILLI;
    if (pending.unanswered >= MAX_UNANSWERED && sinceAsked > ASK_AGAIN_MILLIS) {
      log.event("scheduler_silent", "host", pending.scheduler, "service", pending.claim.service());
      choice.silent(pending.scheduler, now);
      withdrawFromScheduler(pending);
      askScheduler(pending);
    } else if (sinceAsked > (pending.unanswered > 0 ? ASK_AGAIN_MILLIS : CONFIRM_MILLIS)) {
      sendAsk(pending, now);
    }
  }

  private void withdrawFromScheduler(LocalSlotRequest pending) {
    SlotRequest claim = pending.claim;
    if (pending.scheduler.equals(self)) {
      scheduler.withdraw(claim.service(), claim.id());
    } else {
      transport.accept(
          pending.scheduler, new SchedulingMessage.Withdrawn(claim.service(), claim.id()));
    }
  }

  /** Tells schedulers which of their places are held here, so that lost messages do no harm. */
  private void report() {
    long now = loop.nanoTime();
    ledger
        .unreportedUsage(self, now)
        .forEach((customer, units) -> scheduler.recordRemoteUsage(customer, units, now));
    Map<String, List<SchedulingMessage.HeldSlot>> held = new HashMap<>();
    for (LocalSlotRequest pending : claims.values()) {
      if (pending.isGranted()) {
        for (String scheduler : informed(pending, now)) {
          held.computeIfAbsent(scheduler, key -> new ArrayList<>()).add(held(pending));
        }
      }
    }
    reportedTo.forEach(scheduler -> held.computeIfAbsent(scheduler, key -> List.of()));
    reportedTo.clear();
    held.forEach(
        (scheduler, places) -> {
          transport.accept(
              scheduler,
              new SchedulingMessage.HeldSlotsReport(
                  places, ledger.unreportedUsage(scheduler, loop.nanoTime())));
          if (!places.isEmpty()) {
            reportedTo.add(scheduler);
          }
        });
  }

  /** The scheduler that granted a place, and the one that schedules for the service now. */
  private Set<String> informed(LocalSlotRequest pending, long now) {
    Set<String> schedulers = new HashSet<>();
    schedulers.add(pending.scheduler);
    schedulers.add(choice.scheduler(pending.claim.service(), now));
    schedulers.remove(self);
    return schedulers;
  }

  private static SchedulingMessage.HeldSlot held(LocalSlotRequest pending) {
    SlotRequest claim = pending.claim;
    return new SchedulingMessage.HeldSlot(
        claim.id(),
        claim.service(),
        pending.endpointId(),
        claim.estimate().promptTokens(),
        claim.estimate().outputTokens());
  }

  /** Forgets what a host held that is gone. */
  void ownerGone(String owner) {
    scheduler.reconcile(owner, Set.of(), loop.nanoTime());
  }

  /** Takes a message of another host. */
  void received(String from, SchedulingMessage message) {
    long now = loop.nanoTime();
    if (message instanceof SchedulingMessage.Queued queued) {
      LocalSlotRequest pending = claims.get(queued.claimId());
      if (pending != null && pending.scheduler.equals(from)) {
        pending.unanswered = 0;
      }
    } else if (message instanceof SchedulingMessage.Granted granted) {
      receivedGrant(from, granted, now);
    } else if (message instanceof SchedulingMessage.Refused refused) {
      receivedRefusal(from, refused);
    } else {
      service.received(from, message, now);
    }
  }

  private void receivedGrant(String from, SchedulingMessage.Granted grant, long now) {
    LocalSlotRequest pending = claims.get(grant.claimId());
    if (pending != null && pending.isGranted() && pending.scheduler.equals(from)) {
      return;
    }
    if (pending == null || pending.isGranted() || !pending.scheduler.equals(from)) {
      transport.accept(
          from,
          new SchedulingMessage.Released(
              "", grant.endpointId(), grant.claimId(), Outcome.WITHDRAWN, 0));
      return;
    }
    take(pending, grant.endpointId(), now);
  }

  private void take(LocalSlotRequest pending, String endpointId, long now) {
    SlotRequest claim = pending.claim;
    ledger.add(claim.customer(), claim.quotaUnits(), pending.scheduler, now);
    pending.endpointId = endpointId;
    pending.grantedAt = now;
    pending.listener.granted(pending);
  }

  private void receivedRefusal(String from, SchedulingMessage.Refused refused) {
    LocalSlotRequest pending = claims.get(refused.claimId());
    if (pending == null || pending.isGranted() || !pending.scheduler.equals(from)) {
      return;
    }
    claims.remove(refused.claimId());
    pending.done = true;
    pending.listener.refused(new SlotRefusal(refused.reason(), refused.retryAfterMillis()));
  }

  @Override
  public void granted(SlotRequest claim, String endpointId) {
    LocalSlotRequest pending = claims.get(claim.id());
    if (pending == null) {
      loop.execute(
          () ->
              scheduler.release(
                  claim.service(), endpointId, claim.id(), Outcome.WITHDRAWN, 0, loop.nanoTime()));
      return;
    }
    take(pending, endpointId, loop.nanoTime());
  }

  @Override
  public void refused(long claimId, SlotRefusal refusal) {
    LocalSlotRequest pending = claims.remove(claimId);
    if (pending != null) {
      pending.done = true;
      pending.listener.refused(refusal);
    }
  }

  /** Returns how many places are held here. */
  public int heldPlaces() {
    int held = 0;
    for (LocalSlotRequest pending : claims.values()) {
      held += pending.isGranted() ? 1 : 0;
    }
    return held;
  }
}
