package io.samphiredyke.gateway.place;

import io.samphiredyke.core.pool.Claim;
import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.pool.QuotaLedger;
import io.samphiredyke.core.pool.Refusal;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlLoop;
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
 * <p>A question that gets no sign within {@link #RESEND_MILLIS} is sent again; after {@link
 * #MAX_UNANSWERED} of them the next host in the ranking is asked, at last this host's own
 * scheduler. Nothing waits on a host that is gone, frozen or cut off for longer than that.
 */
public final class PlaceClient implements SchedulerService.Owner {

  /** Time to an answer on a busy host between two data centres is a few milliseconds. */
  static final long RESEND_MILLIS = 25;

  /** Questions without a sign after which another scheduler is asked. */
  static final int MAX_UNANSWERED = 2;

  /** How often a waiting claim is repeated to its scheduler as a sign of life. */
  private static final long KEEP_ALIVE_MILLIS = 150;

  private static final Duration TICK_INTERVAL = Duration.ofMillis(15);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

  /**
   * How far back a scheduler that takes over is told what others granted: since the report before.
   * What lies further back is covered by the small part of the burst that it begins with; to
   * subtract it as well would refuse a customer for as many seconds as it has been steady.
   */
  private static final Duration LEDGER_WINDOW = REPORT_INTERVAL;

  private static final double NANOS_PER_MILLI = 1e6;

  private final ControlLoop loop;
  private final String self;
  private final SchedulerService schedulerService;
  private final PoolScheduler scheduler;
  private final SchedulerChoice selector;
  private final BiConsumer<String, PlaceMessage> transport;
  private final DecisionLog log;
  private final Map<Long, PendingClaim> requests = new HashMap<>();
  private final Set<String> reportedTo = new HashSet<>();
  private final QuotaLedger ledger = new QuotaLedger(LEDGER_WINDOW.toNanos());
  private final RandomGenerator random;
  private boolean ticking;

  /**
   * Creates a client that asks only its own scheduler until members are known.
   *
   * @param transport sends a message to a peer address
   */
  PlaceClient(
      ControlLoop loop,
      String self,
      PoolOptions options,
      RandomGenerator random,
      DecisionLog log,
      BiConsumer<String, PlaceMessage> transport) {
    this.loop = loop;
    this.self = self;
    this.random = random;
    this.log = log;
    this.transport = transport;
    this.selector = new SchedulerChoice(self);
    this.schedulerService =
        new SchedulerService(self, options, random, this, transport, this::startTicking);
    this.scheduler = schedulerService.scheduler();
  }

  /** Starts the reports to other schedulers. */
  void start() {
    loop.repeat(this::sendReports, REPORT_INTERVAL);
  }

  /** Returns the scheduler of this host, to feed it with endpoints and configuration. */
  public PoolScheduler scheduler() {
    return scheduler;
  }

  SchedulerChoice selector() {
    return selector;
  }

  /** Asks for a place; returns the claim's number. */
  public long acquire(PlaceRequest request, PlaceListener listener) {
    long id = random.nextLong();
    Claim claim =
        new Claim(
            id,
            self,
            request.service(),
            request.priority(),
            request.value(),
            request.estimate(),
            request.customer(),
            request.quotaUnits(),
            request.isRetry(),
            request.excluded(),
            request.objectiveDeadline(),
            request.startDeadline());
    PendingClaim pending = new PendingClaim(this, claim, listener);
    requests.put(id, pending);
    submit(pending);
    return id;
  }

  private void submit(PendingClaim pending) {
    long now = loop.now();
    String chosen = selector.select(pending.request.service(), now);
    pending.scheduler = chosen;
    pending.unansweredMessages = 0;
    if (chosen.equals(self)) {
      scheduler.claim(pending.request, now);
    } else {
      sendAcquire(pending, now);
    }
    startTicking();
  }

  private void sendAcquire(PendingClaim pending, long now) {
    pending.sentAt = now;
    pending.unansweredMessages++;
    Claim claim = pending.request;
    transport.accept(
        pending.scheduler,
        new PlaceMessage.Ask(
            claim.id(),
            claim.service(),
            claim.rank(),
            claim.value(),
            claim.work(),
            claim.customer(),
            claim.quotaUnits(),
            claim.isRepeat(),
            claim.excluded(),
            millis(claim.dueAt() - now),
            millis(claim.patienceUntil() - now)));
  }

  private static long millis(long nanos) {
    return (long) (nanos / NANOS_PER_MILLI);
  }

  /** Forgets a claim that has no place yet. */
  public void withdraw(long claimId) {
    PendingClaim pending = requests.remove(claimId);
    if (pending == null || pending.isGranted()) {
      return;
    }
    pending.done = true;
    withdrawFromScheduler(pending);
  }

  void firstEventReceived(PendingClaim pending) {
    double millis = (loop.now() - pending.grantedAt) / NANOS_PER_MILLI;
    String service = pending.request.service();
    long id = pending.request.id();
    if (pending.scheduler.equals(self)) {
      scheduler.started(service, pending.endpointId(), id, millis);
    } else {
      transport.accept(
          pending.scheduler, new PlaceMessage.Started(service, pending.endpointId(), id, millis));
    }
  }

  void release(PendingClaim pending, Outcome outcome) {
    if (pending.done) {
      return;
    }
    pending.done = true;
    requests.remove(pending.request.id());
    double millis = (loop.now() - pending.grantedAt) / NANOS_PER_MILLI;
    sendRelease(pending, pending.endpointId(), outcome, millis);
  }

  private void sendRelease(PendingClaim pending, String endpoint, Outcome outcome, double millis) {
    String service = pending.request.service();
    long id = pending.request.id();
    if (pending.scheduler.equals(self)) {
      scheduler.release(service, endpoint, id, outcome, millis, loop.now());
    } else {
      transport.accept(
          pending.scheduler, new PlaceMessage.Released(service, endpoint, id, outcome, millis));
    }
  }

  private void startTicking() {
    if (!ticking) {
      ticking = true;
      loop.schedule(this::tick, TICK_INTERVAL);
    }
  }

  private void tick() {
    ticking = false;
    long now = loop.now();
    scheduler.tick(now);
    boolean isWaiting = false;
    for (PendingClaim pending : List.copyOf(requests.values())) {
      if (!pending.isGranted()) {
        isWaiting = true;
        checkScheduler(pending, now);
      }
    }
    if (isWaiting || scheduler.hasWaiting()) {
      startTicking();
    }
  }

  private void checkScheduler(PendingClaim pending, long now) {
    if (!selector.select(pending.request.service(), now).equals(pending.scheduler)) {
      withdrawFromScheduler(pending);
      submit(pending);
      return;
    }
    if (pending.scheduler.equals(self)) {
      return;
    }
    double sinceAsked = (now - pending.sentAt) / NANOS_PER_MILLI;
    if (pending.unansweredMessages >= MAX_UNANSWERED && sinceAsked > RESEND_MILLIS) {
      log.event(
          "scheduler_silent", "host", pending.scheduler, "service", pending.request.service());
      selector.markUnresponsive(pending.scheduler, now);
      withdrawFromScheduler(pending);
      submit(pending);
    } else if (sinceAsked > (pending.unansweredMessages > 0 ? RESEND_MILLIS : KEEP_ALIVE_MILLIS)) {
      sendAcquire(pending, now);
    }
  }

  private void withdrawFromScheduler(PendingClaim pending) {
    Claim claim = pending.request;
    if (pending.scheduler.equals(self)) {
      scheduler.withdraw(claim.service(), claim.id());
    } else {
      transport.accept(pending.scheduler, new PlaceMessage.Withdrawn(claim.service(), claim.id()));
    }
  }

  /** Tells schedulers which of their places are held here, so that lost messages do no harm. */
  private void sendReports() {
    long now = loop.now();
    ledger
        .newsFor(self, now)
        .forEach((customer, units) -> scheduler.usedElsewhere(customer, units, now));
    Map<String, List<PlaceMessage.Held>> held = new HashMap<>();
    for (PendingClaim pending : requests.values()) {
      if (pending.isGranted()) {
        for (String scheduler : schedulersToInform(pending, now)) {
          held.computeIfAbsent(scheduler, key -> new ArrayList<>()).add(heldSlot(pending));
        }
      }
    }
    reportedTo.forEach(scheduler -> held.computeIfAbsent(scheduler, key -> List.of()));
    reportedTo.clear();
    held.forEach(
        (scheduler, places) -> {
          transport.accept(
              scheduler, new PlaceMessage.Holding(places, ledger.newsFor(scheduler, loop.now())));
          if (!places.isEmpty()) {
            reportedTo.add(scheduler);
          }
        });
  }

  /** The scheduler that granted a place, and the one that schedules for the service now. */
  private Set<String> schedulersToInform(PendingClaim pending, long now) {
    Set<String> schedulers = new HashSet<>();
    schedulers.add(pending.scheduler);
    schedulers.add(selector.select(pending.request.service(), now));
    schedulers.remove(self);
    return schedulers;
  }

  private static PlaceMessage.Held heldSlot(PendingClaim pending) {
    Claim claim = pending.request;
    return new PlaceMessage.Held(
        claim.id(),
        claim.service(),
        pending.endpointId(),
        claim.work().promptTokens(),
        claim.work().outputTokens());
  }

  /** Forgets what a host held that is gone. */
  void hostGone(String owner) {
    scheduler.reconcile(owner, Set.of(), loop.now());
  }

  /** Takes a message of another host. */
  void received(String from, PlaceMessage message) {
    long now = loop.now();
    if (message instanceof PlaceMessage.Queued queued) {
      PendingClaim pending = requests.get(queued.slotRequestId());
      if (pending != null && pending.scheduler.equals(from)) {
        pending.unansweredMessages = 0;
      }
    } else if (message instanceof PlaceMessage.Granted granted) {
      receivedGrant(from, granted, now);
    } else if (message instanceof PlaceMessage.Refused refused) {
      receivedRefusal(from, refused);
    } else {
      schedulerService.received(from, message, now);
    }
  }

  private void receivedGrant(String from, PlaceMessage.Granted grant, long now) {
    PendingClaim pending = requests.get(grant.slotRequestId());
    if (pending != null && pending.isGranted() && pending.scheduler.equals(from)) {
      return;
    }
    if (pending == null || pending.isGranted() || !pending.scheduler.equals(from)) {
      transport.accept(
          from,
          new PlaceMessage.Released(
              "", grant.endpointId(), grant.slotRequestId(), Outcome.WITHDRAWN, 0));
      return;
    }
    recordGrant(pending, grant.endpointId(), now);
  }

  private void recordGrant(PendingClaim pending, String endpointId, long now) {
    Claim claim = pending.request;
    ledger.add(claim.customer(), claim.quotaUnits(), pending.scheduler, now);
    pending.endpointId = endpointId;
    pending.grantedAt = now;
    pending.listener.granted(pending);
  }

  private void receivedRefusal(String from, PlaceMessage.Refused refused) {
    PendingClaim pending = requests.get(refused.slotRequestId());
    if (pending == null || pending.isGranted() || !pending.scheduler.equals(from)) {
      return;
    }
    requests.remove(refused.slotRequestId());
    pending.done = true;
    pending.listener.refused(new Refusal(refused.reason(), refused.retryAfterMillis()));
  }

  @Override
  public void granted(Claim claim, String endpointId) {
    PendingClaim pending = requests.get(claim.id());
    if (pending == null) {
      loop.execute(
          () ->
              scheduler.release(
                  claim.service(), endpointId, claim.id(), Outcome.WITHDRAWN, 0, loop.now()));
      return;
    }
    recordGrant(pending, endpointId, loop.now());
  }

  @Override
  public void refused(long claimId, Refusal refusal) {
    PendingClaim pending = requests.remove(claimId);
    if (pending != null) {
      pending.done = true;
      pending.listener.refused(refusal);
    }
  }

  /** Returns how many places are held here. */
  public int heldSlots() {
    int held = 0;
    for (PendingClaim pending : requests.values()) {
      held += pending.isGranted() ? 1 : 0;
    }
    return held;
  }
}
