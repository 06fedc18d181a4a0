package io.samphiredyke.gateway.rollout;

import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.rollout.RolloutController;
import io.samphiredyke.core.rollout.RolloutEvidence;
import io.samphiredyke.core.rollout.RolloutOrder;
import io.samphiredyke.core.rollout.RolloutStage;
import io.samphiredyke.core.rollout.RolloutState;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.scheduling.PeerGroup;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.MalformedRecordException;
import io.samphiredyke.platform.RolloutCodec;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreRecord;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Carries out the roll-outs that the operator orders. The host that schedules a service decides on
 * its roll-out; the other hosts apply the stage that it announces.
 */
public final class RolloutService {

  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);
  private static final long BROADCAST_NANOS = Duration.ofMillis(500).toNanos();

  /** Age from which a stage that nobody confirmed is not relied on. */
  private static final long MAX_STAGE_AGE_NANOS = Duration.ofSeconds(3).toNanos();

  /**
   * How long a final stage is still sent and, by a scheduler that has not written it, written; old
   * endpoints are gone afterwards.
   */
  private static final long FINAL_NANOS = Duration.ofSeconds(10).toNanos();

  private final ControlEventLoop loop;
  private final PeerGroup peers;
  private final PoolScheduler scheduler;
  private final RolloutArchive archive;
  private final RolloutController controller;
  private final RolloutLog log;
  private final Map<String, ServiceRollout> rollouts = new HashMap<>();
  private boolean isTicking;
  private boolean isStoreRestored;

  /**
   * Creates a service without roll-outs.
   *
   * @param permittedExposure share of a service's requests that a faulty version may get
   */
  public RolloutService(
      ControlEventLoop loop,
      PeerGroup peers,
      StoreClient store,
      double permittedExposure,
      DecisionLog log) {
    this.loop = loop;
    this.peers = peers;
    this.scheduler = peers.slotClient().scheduler();
    this.controller = new RolloutController(permittedExposure);
    this.log = new RolloutLog(log);
    this.archive = new RolloutArchive(loop, store, this.log);
    peers.setRolloutListener(this::received);
  }

  /** Applies the orders among records of the operator's topic. */
  public void operatorRecords(List<StoreRecord> records) {
    for (StoreRecord record : records) {
      if (record.key().startsWith(StoreClient.ROLLOUT_PREFIX)) {
        apply(record);
      }
    }
  }

  private void apply(StoreRecord record) {
    byte[] value = record.value();
    if (value == null || value.length == 0) {
      abandon(record.key().substring(StoreClient.ROLLOUT_PREFIX.length()));
      return;
    }
    try {
      ordered(RolloutCodec.decodeOrder(value, record.offset()));
    } catch (MalformedRecordException e) {
      log.rejected(record.key(), e.getMessage());
    }
  }

  private void abandon(String service) {
    if (rollouts.remove(service) != null) {
      log.abandoned(service);
      scheduler.setSplit(service, null, loop.nanoTime());
    }
  }

  private void ordered(RolloutOrder order) {
    ServiceRollout known = rollouts.get(order.service());
    if (known != null && isKnown(order, known)) {
      return;
    }
    log.ordered(order);
    begin(order);
  }

  /**
   * Returns whether an order is not newer than the known one. A restored store gives out offsets
   * again, so the same order may return at another one; hosts keep the first.
   */
  private boolean isKnown(RolloutOrder order, ServiceRollout known) {
    if (!isStoreRestored) {
      return order.offset() <= known.order().offset();
    }
    RolloutState state = known.state();
    boolean isRunning = state == null || !state.stage().isFinal();
    return order.isAlike(known.order()) && (isRunning || order.offset() <= known.order().offset());
  }

  private ServiceRollout begin(RolloutOrder order) {
    ServiceRollout rollout = new ServiceRollout(order, loop.nanoTime());
    rollouts.put(order.service(), rollout);
    rollout.split.hold();
    scheduler.setSplit(order.service(), rollout.split, loop.nanoTime());
    readStage(rollout);
    startTicking();
    return rollout;
  }

  private void readStage(ServiceRollout rollout) {
    loop.whenDone(
        archive.read(rollout.order().service()),
        stored -> {
          rollout.isRead = true;
          RolloutState state = stored.state();
          if (state != null && state.order().isReturnedAs(rollout.order())) {
            rollout.setOrder(state.order());
          }
          if (state != null && state.supersedes(rollout.state())) {
            adopt(rollout, state, "store");
          }
        },
        failure -> {
          log.notRead(rollout.order().service(), failure);
          loop.schedule(() -> readStage(rollout), RETRY_INTERVAL);
        });
  }

  /** Handles the stage that another host states. */
  private void received(RolloutState state) {
    String service = state.order().service();
    ServiceRollout known = rollouts.get(service);
    if (known == null || state.order().offset() > known.order().offset()) {
      known = begin(state.order());
    }
    if (state.order().offset() != known.order().offset()) {
      return;
    }
    RolloutState present = known.state();
    if (state.supersedes(present)) {
      adopt(known, state, "host");
    } else if (present != null && present.stage() == state.stage()) {
      if (!known.isScheduler && loop.nanoTime() - known.heardAt() > MAX_STAGE_AGE_NANOS) {
        applyStage(known, present.stage());
      }
      known.confirmed(loop.nanoTime());
    }
  }

  private void adopt(ServiceRollout rollout, RolloutState state, String source) {
    if (state.order().offset() != rollout.order().offset()) {
      return;
    }
    enter(rollout, state, source);
  }

  private void enter(ServiceRollout rollout, RolloutState next, String source) {
    RolloutState before = rollout.state();
    rollout.enter(next, loop.nanoTime());
    log.entered(next, before, rollout.split.exposure(), source);
    applyStage(rollout, next.stage());
    startTicking();
  }

  private void applyStage(ServiceRollout rollout, RolloutStage stage) {
    controller.apply(stage, rollout.split);
    scheduler.setSplit(rollout.order().service(), rollout.split, loop.nanoTime());
  }

  private void startTicking() {
    if (!isTicking) {
      isTicking = true;
      loop.repeatWhile(this::tick, TICK_INTERVAL, TICK_INTERVAL);
    }
  }

  /** Returns whether a roll-out must be checked again. */
  private boolean tick() {
    boolean isAnyActive = false;
    for (ServiceRollout rollout : List.copyOf(rollouts.values())) {
      isAnyActive |= check(rollout, loop.nanoTime());
    }
    isTicking = isAnyActive;
    return isAnyActive;
  }

  /** Returns whether the roll-out must be checked again. */
  private boolean check(ServiceRollout rollout, long now) {
    boolean wasScheduler = rollout.isScheduler;
    rollout.isScheduler = peers.isSchedulerOf(rollout.order().service());
    RolloutState state = rollout.state();
    boolean isStored =
        !rollout.isScheduler || (state != null && rollout.storedStage == state.stage());
    if (state != null
        && state.stage().isFinal()
        && isStored
        && rollout.inStageNanos(now) > FINAL_NANOS) {
      if (state.stage() == RolloutStage.SUCCEEDED) {
        scheduler.setSplit(rollout.order().service(), null, now);
      }
      return false;
    }
    if (wasScheduler != rollout.isScheduler) {
      log.deciderChanged(rollout);
    }
    if (!rollout.isScheduler) {
      if (state != null
          && !state.stage().isFinal()
          && now - rollout.heardAt() > MAX_STAGE_AGE_NANOS) {
        rollout.split.hold();
      }
      return true;
    }
    if (!wasScheduler) {
      takeOver(rollout, now);
    }
    if (state == null) {
      if (rollout.isRead) {
        enter(rollout, rollout.begin(now), "order");
      }
      return true;
    }
    decide(rollout, state, now);
    return true;
  }

  private void takeOver(ServiceRollout rollout, long now) {
    rollout.schedulerSince = now;
    rollout.storedStage = null;
    RolloutState state = rollout.state();
    if (state != null) {
      applyStage(rollout, state.stage());
    }
  }

  private void decide(ServiceRollout rollout, RolloutState state, long now) {
    RolloutEvidence evidence = scheduler.rolloutEvidence(rollout.order().service(), now);
    long elapsed = rollout.elapsedMillis(state, now);
    RolloutState next =
        evidence == null
            ? null
            : controller.decide(
                state,
                elapsed,
                rollout.decidingInStageMillis(now),
                rollout.decidingMillis(now),
                evidence);
    if (next != null && evidence != null && isStoredFirst(next, evidence)) {
      write(rollout, next, state, elapsed);
      next = null;
    } else if (next != null) {
      enter(rollout, next, "decision");
      rollout.nextBroadcastAt = now;
    }
    RolloutState present = next == null ? state : next;
    if (now - rollout.nextBroadcastAt >= 0) {
      rollout.nextBroadcastAt = now + BROADCAST_NANOS;
      peers.broadcastRollout(present.next(present.stage(), elapsed, present.reason()));
    }
    if (rollout.storedStage != present.stage()) {
      write(rollout, present, present, elapsed);
    }
  }

  /**
   * Returns whether a decision takes effect only when it is stored: success, as old endpoints stop
   * at once, and a rollback for want of time, as another host may have come further.
   */
  private static boolean isStoredFirst(RolloutState next, RolloutEvidence evidence) {
    return next.stage().isFinal() && evidence.finding() == null;
  }

  private void write(
      ServiceRollout rollout, RolloutState state, RolloutState previous, long elapsedMillis) {
    if (rollout.isWriting) {
      return;
    }
    rollout.isWriting = true;
    long startedAt = loop.nanoTime();
    loop.whenDone(
        archive.write(state, previous, elapsedMillis),
        other -> written(rollout, state, other, startedAt),
        failure -> {
          log.notWritten(state, failure, millisSince(startedAt));
          loop.schedule(() -> rollout.isWriting = false, RETRY_INTERVAL);
        });
  }

  private void written(
      ServiceRollout rollout,
      RolloutState written,
      Optional<RolloutState> superseding,
      long startedAt) {
    rollout.isWriting = false;
    log.written(written, superseding, millisSince(startedAt));
    if (superseding.isPresent()) {
      adopt(rollout, superseding.get(), "store");
      return;
    }
    rollout.storedStage = written.stage();
    if (written.supersedes(rollout.state())) {
      enter(rollout, written, "stored decision");
      rollout.nextBroadcastAt = loop.nanoTime();
    }
  }

  private long millisSince(long startedAt) {
    return TimeUnit.NANOSECONDS.toMillis(loop.nanoTime() - startedAt);
  }

  /** Writes the stages that this host decides on again, because an older copy was restored. */
  public void onStoreRestored() {
    isStoreRestored = true;
    rollouts.values().forEach(rollout -> rollout.storedStage = null);
    if (!rollouts.isEmpty()) {
      startTicking();
    }
  }

  /** Returns how many requests this host has granted to the new versions of known roll-outs. */
  public long exposure() {
    return rollouts.values().stream().mapToLong(rollout -> rollout.split.exposure()).sum();
  }

  /** Returns how many roll-outs have not ended. */
  public int running() {
    int running = 0;
    for (ServiceRollout rollout : rollouts.values()) {
      RolloutState state = rollout.state();
      running += state == null || !state.stage().isFinal() ? 1 : 0;
    }
    return running;
  }
}
