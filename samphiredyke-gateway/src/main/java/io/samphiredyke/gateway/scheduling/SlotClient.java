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
 * Acquires slots for requests of this host, and runs the scheduler for hosts that selected it.
 *
 * <p>A slot request that is not acknowledged within {@link #RESEND_MILLIS} is sent again. After
 * {@link #MAX_UNANSWERED} unacknowledged messages it goes to the next host in the ranking and
 * finally to the scheduler of this host. This bounds the delay by a scheduler that is dead, paused
 * or unreachable.
 */
public final class SlotClient implements SchedulerService.LocalDecisionListener {

  /** Resend timeout; busy hosts in another data centre respond within a few milliseconds. */
  static final long RESEND_MILLIS = 25;

  /** Unacknowledged messages after which another scheduler is selected. */
  static final int MAX_UNANSWERED = 2;

  /** Interval at which a waiting request is sent again, to detect a scheduler that has failed. */
  private static final long KEEP_ALIVE_MILLIS = 150;

  private static final Duration TICK_INTERVAL = Duration.ofMillis(15);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

  /**
   * How far back a new scheduler is told of quota that others granted: since the previous report.
   * Earlier usage is covered by the small part of the burst with which it starts; subtracting it as
   * well would refuse a customer with steady traffic for as many seconds as the traffic has lasted.
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
  private final ReportTargets reportTargets = new ReportTargets();
  private final QuotaLedger ledger = new QuotaLedger(LEDGER_WINDOW.toNanos());
  private final RandomGenerator random;
  private boolean ticking;

  /**
   * Creates a client that uses only the scheduler of this host until other members are known.
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

  /** Starts the periodic reports to other schedulers. */
  void start() {
    loop.scheduleWithFixedDelay(this::sendReports, REPORT_INTERVAL);
  }

  /** Returns the scheduler of this host, which needs endpoints and configuration. */
  public PoolScheduler scheduler() {
    return scheduler;
  }

  SchedulerSelector selector() {
    return selector;
  }

  /** Requests a slot and returns the id of the slot request. */
  public long acquire(SlotRequirements requirements, AcquisitionListener listener) {
    long id = random.nextLong();
    SlotRequest request = requirements.toSlotRequest(id, self);
    LocalSlotRequest pending = new LocalSlotRequest(this, request, listener);
    requests.put(id, pending);
    submit(pending);
    return id;
  }

  private void submit(LocalSlotRequest pending) {
    long now = loop.nanoTime();
    String selected = selector.select(pending.request.service(), now);
    pending.scheduler = selected;
    pending.unansweredMessages = 0;
    if (selected.equals(self)) {
      scheduler.submit(pending.request, now);
    } else {
      sendAcquire(pending, now);
    }
    startTicking();
  }

  private void sendAcquire(LocalSlotRequest pending, long now) {
    pending.sentAt = now;
    pending.unansweredMessages++;
    SlotRequest request = pending.request;
    transport.accept(
        pending.scheduler,
        new SchedulingMessage.Acquire(
            request.id(),
            request.service(),
            request.route(),
            request.rank(),
            request.value(),
            request.estimate(),
            request.customer(),
            request.quotaUnits(),
            request.isRetry(),
            request.excluded(),
            request.isolated(),
            millis(request.objectiveDeadline() - now),
            millis(request.startDeadline() - now)));
  }

  private static long millis(long nanos) {
    return (long) (nanos / NANOS_PER_MILLI);
  }

  /** Withdraws a slot request that has not been granted yet. */
  public void withdraw(long slotRequestId) {
    LocalSlotRequest pending = requests.remove(slotRequestId);
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
    if (outcome == Outcome.FULL) {
      List<String> schedulers = selector.candidates(pending.request.service(), loop.nanoTime());
      schedulerService.stateRefusal(pending, schedulers, loop.nanoTime());
    }
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
      loop.repeatWhile(this::tick, TICK_INTERVAL, TICK_INTERVAL);
    }
  }

  /** Returns whether a request waits, so that the next tick is needed. */
  private boolean tick() {
    long now = loop.nanoTime();
    scheduler.tick(now);
    for (LocalSlotRequest pending : List.copyOf(requests.values())) {
      if (!pending.isGranted()) {
        checkScheduler(pending, now);
      }
    }
    ticking =
        scheduler.hasWaiting()
            || requests.values().stream().anyMatch(pending -> !pending.isGranted());
    return ticking;
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
    double sinceSent = (now - pending.sentAt) / NANOS_PER_MILLI;
    if (pending.unansweredMessages >= MAX_UNANSWERED && sinceSent > RESEND_MILLIS) {
      log.event(
          "scheduler_silent", "host", pending.scheduler, "service", pending.request.service());
      selector.markUnresponsive(pending.scheduler, now);
      withdrawFromScheduler(pending);
      submit(pending);
    } else if (sinceSent > (pending.unansweredMessages > 0 ? RESEND_MILLIS : KEEP_ALIVE_MILLIS)) {
      sendAcquire(pending, now);
    }
  }

  private void withdrawFromScheduler(LocalSlotRequest pending) {
    SlotRequest request = pending.request;
    if (pending.scheduler.equals(self)) {
      scheduler.withdraw(request.service(), request.id());
    } else {
      transport.accept(
          pending.scheduler, new SchedulingMessage.Withdrawn(request.service(), request.id()));
    }
  }

  /** Reports to each scheduler the slots held here, to compensate for lost messages. */
  private void sendReports() {
    long now = loop.nanoTime();
    ledger
        .unreportedUsage(self, now)
        .forEach((customer, units) -> scheduler.recordRemoteUsage(customer, units, now));
    Map<String, List<SchedulingMessage.HeldSlot>> held = new HashMap<>();
    for (LocalSlotRequest pending : requests.values()) {
      if (pending.isGranted()) {
        for (String each : schedulersToInform(pending, now)) {
          reportTargets.used(each);
          held.computeIfAbsent(each, key -> new ArrayList<>()).add(heldSlot(pending));
        }
      }
    }
    for (String each : reportTargets.next()) {
      List<SchedulingMessage.HeldSlot> slots = held.getOrDefault(each, List.of());
      transport.accept(
          each, new SchedulingMessage.HeldSlotsReport(slots, ledger.unreportedUsage(each, now)));
    }
  }

  /** Returns the scheduler that granted a slot and the current scheduler of its service. */
  private Set<String> schedulersToInform(LocalSlotRequest pending, long now) {
    Set<String> schedulers = new HashSet<>();
    schedulers.add(pending.scheduler);
    schedulers.add(selector.select(pending.request.service(), now));
    schedulers.remove(self);
    return schedulers;
  }

  private static SchedulingMessage.HeldSlot heldSlot(LocalSlotRequest pending) {
    SlotRequest request = pending.request;
    return new SchedulingMessage.HeldSlot(
        request.id(),
        request.service(),
        pending.endpointId(),
        request.estimate().promptTokens(),
        request.estimate().outputTokens(),
        request.isolated());
  }

  /** Releases all slots of a host that has failed or left. */
  void hostGone(String requester) {
    scheduler.hostGone(requester, loop.nanoTime());
  }

  /** Handles a message of another host. */
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
    SlotRequest request = pending.request;
    ledger.add(request.customer(), request.quotaUnits(), pending.scheduler, now);
    if (!pending.scheduler.equals(self)) {
      reportTargets.used(pending.scheduler);
    }
    pending.endpointId = endpointId;
    pending.grantedAt = now;
    pending.listener.granted(pending);
  }

  private void receivedRefusal(String from, SchedulingMessage.Refused refused) {
    LocalSlotRequest pending = requests.get(refused.slotRequestId());
    if (pending == null || !isAwaitedFrom(from, pending)) {
      return;
    }
    requests.remove(refused.slotRequestId());
    pending.done = true;
    pending.listener.refused(new SlotRefusal(refused.reason(), refused.retryAfterMillis()));
  }

  @Override
  public void granted(SlotRequest request, String endpointId) {
    LocalSlotRequest pending = requests.get(request.id());
    if (pending == null || !isAwaitedFrom(self, pending)) {
      loop.execute(
          () ->
              scheduler.release(
                  request.service(),
                  endpointId,
                  request.id(),
                  Outcome.WITHDRAWN,
                  0,
                  loop.nanoTime()));
      return;
    }
    recordGrant(pending, endpointId, loop.nanoTime());
  }

  @Override
  public void refused(long slotRequestId, SlotRefusal refusal) {
    LocalSlotRequest pending = requests.get(slotRequestId);
    if (pending != null && isAwaitedFrom(self, pending)) {
      requests.remove(slotRequestId);
      pending.done = true;
      pending.listener.refused(refusal);
    }
  }

  /** Returns whether a slot request still awaits the decision of a scheduler. */
  private static boolean isAwaitedFrom(String scheduler, LocalSlotRequest pending) {
    return !pending.isGranted() && pending.scheduler.equals(scheduler);
  }

  /** Returns the number of slots held here. */
  public int heldSlots() {
    int held = 0;
    for (LocalSlotRequest pending : requests.values()) {
      held += pending.isGranted() ? 1 : 0;
    }
    return held;
  }
}
