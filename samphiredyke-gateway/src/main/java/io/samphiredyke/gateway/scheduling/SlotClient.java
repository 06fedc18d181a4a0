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
 * <p>A question that gets no sign within {@link #RESEND_MILLIS} is sent again; after {@link
 * #MAX_UNANSWERED} of them the next host in the ranking is asked, at last this host's own
 * scheduler. Nothing waits on a host that is gone, frozen or cut off for longer than that.
 */
public final class SlotClient implements SchedulerService.LocalDecisionListener {

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

  private final ControlEventLoop loop;
  private final String self;
  private final SchedulerService schedulerService;
  private final PoolScheduler scheduler;
  private final SchedulerSelector selector;
  private final BiConsumer<String, SchedulingMessage> transport;
  private final DecisionLog log;
  private final Map<Long, LocalSlotRequest> requests = new HashMap<>();
  private final Set<String> reportedTo = new HashSet<>();
  private final QuotaLedger ledger = new QuotaLedger(LEDGER_WINDOW.toNanos());
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
    this.selector = new SchedulerSelector(self);
    this.schedulerService =
        new SchedulerService(self, options, random, this, transport, this::startTicking);
    this.scheduler = schedulerService.scheduler();
  }

  /** Starts the reports to other schedulers. */
  void start() {
    loop.scheduleWithFixedDelay(this::sendReports, REPORT_INTERVAL);
  }

  /** Returns the scheduler of this host, to feed it with endpoints and configuration. */
  public PoolScheduler scheduler() {
    return scheduler;
  }

  SchedulerSelector selector() {
    return selector;
  }

  /** Asks for a place; returns the claim's number. */
  public long acquire(SlotRequirements request, AcquisitionListener listener) {
    long id = random.nextLong();
    SlotRequest claim =
        new SlotRequest(
            id,
            self,
            request.service(),
            request.rank(),
            request.value(),
            request.estimate(),
            request.customer(),
            request.quotaUnits(),
            request.isRetry(),
            request.excluded(),
            request.objectiveDeadline(),
            request.startDeadline());
    LocalSlotRequest pending = new LocalSlotRequest(this, claim, listener);
    requests.put(id, pending);
    submit(pending);
    return id;
  }

  private void submit(LocalSlotRequest pending) {
    long now = loop.nanoTime();
    String chosen = selector.select(pending.request.service(), now);
    pending.scheduler = chosen;
    pending.unansweredMessages = 0;
    if (chosen.equals(self)) {
      scheduler.submit(pending.request, now);
    } else {
      sendAcquire(pending, now);
    }
    startTicking();
  }

  private void sendAcquire(LocalSlotRequest pending, long now) {
    pending.sentAt = now;
    pending.unansweredMessages++;
    SlotRequest claim = pending.request;
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
    LocalSlotRequest pending = requests.remove(claimId);
    if (pending == null || pending.isGranted()) {
      return;
    }
    pending.done = true;
    withdrawFromScheduler(pending);
  }

  void firstEventReceived(LocalSlotRequest pending) {
    double millis = (loop.nanoTime() - pending.grantedAt) / NANOS_PER_MILLI;
    String service = pending.request.service();
    long id = pending.request.id();
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
    requests.remove(pending.request.id());
    double millis = (loop.nanoTime() - pending.grantedAt) / NANOS_PER_MILLI;
    sendRelease(pending, pending.endpointId(), outcome, millis);
  }

  private void sendRelease(
      LocalSlotRequest pending, String endpoint, Outcome outcome, double millis) {
    String service = pending.request.service();
    long id = pending.request.id();
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
      loop.schedule(this::tick, TICK_INTERVAL);
    }
  }

  private void tick() {
    ticking = false;
    long now = loop.nanoTime();
    scheduler.tick(now);
    boolean isWaiting = false;
    for (LocalSlotRequest pending : List.copyOf(requests.values())) {
      if (!pending.isGranted()) {
        isWaiting = true;
        checkScheduler(pending, now);
      }
    }
    if (isWaiting || scheduler.hasWaiting()) {
      startTicking();
    }
  }

  private void checkScheduler(LocalSlotRequest pending, long now) {
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

  private void withdrawFromScheduler(LocalSlotRequest pending) {
    SlotRequest claim = pending.request;
    if (pending.scheduler.equals(self)) {
      scheduler.withdraw(claim.service(), claim.id());
    } else {
      transport.accept(
          pending.scheduler, new SchedulingMessage.Withdrawn(claim.service(), claim.id()));
    }
  }

  /** Tells schedulers which of their places are held here, so that lost messages do no harm. */
  private void sendReports() {
    long now = loop.nanoTime();
    ledger
        .unreportedUsage(self, now)
        .forEach((customer, units) -> scheduler.recordRemoteUsage(customer, units, now));
    Map<String, List<SchedulingMessage.HeldSlot>> held = new HashMap<>();
    for (LocalSlotRequest pending : requests.values()) {
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
              scheduler,
              new SchedulingMessage.HeldSlotsReport(
                  places, ledger.unreportedUsage(scheduler, loop.nanoTime())));
          if (!places.isEmpty()) {
            reportedTo.add(scheduler);
          }
        });
  }

  /** The scheduler that granted a place, and the one that schedules for the service now. */
  private Set<String> schedulersToInform(LocalSlotRequest pending, long now) {
    Set<String> schedulers = new HashSet<>();
    schedulers.add(pending.scheduler);
    schedulers.add(selector.select(pending.request.service(), now));
    schedulers.remove(self);
    return schedulers;
  }

  private static SchedulingMessage.HeldSlot heldSlot(LocalSlotRequest pending) {
    SlotRequest claim = pending.request;
    return new SchedulingMessage.HeldSlot(
        claim.id(),
        claim.service(),
        pending.endpointId(),
        claim.estimate().promptTokens(),
        claim.estimate().outputTokens());
  }

  /** Forgets what a host held that is gone. */
  void hostGone(String owner) {
    scheduler.reconcile(owner, Set.of(), loop.nanoTime());
  }

  /** Takes a message of another host. */
  void received(String from, SchedulingMessage message) {
    long now = loop.nanoTime();
    if (message instanceof SchedulingMessage.Queued queued) {
      LocalSlotRequest pending = requests.get(queued.slotRequestId());
      if (pending != null && pending.scheduler.equals(from)) {
        pending.unansweredMessages = 0;
      }
    } else if (message instanceof SchedulingMessage.Granted granted) {
      receivedGrant(from, granted, now);
    } else if (message instanceof SchedulingMessage.Refused refused) {
      receivedRefusal(from, refused);
    } else {
      schedulerService.received(from, message, now);
    }
  }

  private void receivedGrant(String from, SchedulingMessage.Granted grant, long now) {
    LocalSlotRequest pending = requests.get(grant.slotRequestId());
    if (pending != null && pending.isGranted() && pending.scheduler.equals(from)) {
      return;
    }
    if (pending == null || pending.isGranted() || !pending.scheduler.equals(from)) {
      transport.accept(
          from,
          new SchedulingMessage.Released(
              "", grant.endpointId(), grant.slotRequestId(), Outcome.WITHDRAWN, 0));
      return;
    }
    recordGrant(pending, grant.endpointId(), now);
  }

  private void recordGrant(LocalSlotRequest pending, String endpointId, long now) {
    SlotRequest claim = pending.request;
    ledger.add(claim.customer(), claim.quotaUnits(), pending.scheduler, now);
    pending.endpointId = endpointId;
    pending.grantedAt = now;
    pending.listener.granted(pending);
  }

  private void receivedRefusal(String from, SchedulingMessage.Refused refused) {
    LocalSlotRequest pending = requests.get(refused.slotRequestId());
    if (pending == null || pending.isGranted() || !pending.scheduler.equals(from)) {
      return;
    }
    requests.remove(refused.slotRequestId());
    pending.done = true;
    pending.listener.refused(new SlotRefusal(refused.reason(), refused.retryAfterMillis()));
  }

  @Override
  public void granted(SlotRequest claim, String endpointId) {
    LocalSlotRequest pending = requests.get(claim.id());
    if (pending == null) {
      loop.execute(
          () ->
              scheduler.release(
                  claim.service(), endpointId, claim.id(), Outcome.WITHDRAWN, 0, loop.nanoTime()));
      return;
    }
    recordGrant(pending, endpointId, loop.nanoTime());
  }

  @Override
  public void refused(long claimId, SlotRefusal refusal) {
    LocalSlotRequest pending = requests.remove(claimId);
    if (pending != null) {
      pending.done = true;
      pending.listener.refused(refusal);
    }
  }

  /** Returns how many places are held here. */
  public int heldSlots() {
    int held = 0;
    for (LocalSlotRequest pending : requests.values()) {
      held += pending.isGranted() ? 1 : 0;
    }
    return held;
  }
}
