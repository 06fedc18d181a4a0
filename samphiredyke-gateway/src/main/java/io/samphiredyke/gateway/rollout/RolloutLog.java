package io.samphiredyke.gateway.rollout;

import io.samphiredyke.core.rollout.RolloutOrder;
import io.samphiredyke.core.rollout.RolloutStage;
import io.samphiredyke.core.rollout.RolloutState;
import io.samphiredyke.gateway.log.DecisionLog;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Log lines on roll-outs. */
final class RolloutLog {

  private static final String NONE = "none";

  private final DecisionLog log;

  RolloutLog(DecisionLog log) {
    this.log = log;
  }

  void rejected(String key, @Nullable String reason) {
    log.event("rollout_rejected", "key", key, "reason", reason);
  }

  void abandoned(String service) {
    log.event("rollout_abandoned", "service", service, "reason", "the order was deleted");
  }

  void ordered(RolloutOrder order) {
    log.event(
        "rollout_ordered",
        "service",
        order.service(),
        "version",
        order.version(),
        "duration_ms",
        order.durationMillis(),
        "offset",
        order.offset());
  }

  void notRead(String service, Throwable failure) {
    log.event(
        "rollout_not_read", "service", service, "reason", String.valueOf(failure.getMessage()));
  }

  /** Logs that this host began or ceased to decide. */
  void deciderChanged(ServiceRollout rollout) {
    RolloutState state = rollout.state();
    log.event(
        "rollout_decider",
        "service",
        rollout.order().service(),
        "is_this_host",
        rollout.isScheduler,
        "stage",
        state == null ? NONE : state.stage(),
        "stored",
        nameOf(rollout.storedStage));
  }

  void entered(RolloutState next, @Nullable RolloutState before, long exposure, String source) {
    log.event(
        "rollout",
        "service",
        next.order().service(),
        "version",
        next.order().version(),
        "stage",
        next.stage(),
        "before",
        before == null ? NONE : before.stage(),
        "elapsed_ms",
        next.elapsedMillis(),
        "exposure",
        exposure,
        "reason",
        next.reason(),
        "source",
        source);
  }

  /** Logs that a state was written, or not because the store has one that supersedes it. */
  void written(RolloutState state, Optional<RolloutState> superseding, long millis) {
    log.event(
        "rollout_written",
        "service",
        state.order().service(),
        "stage",
        state.stage(),
        "superseded_by",
        nameOf(superseding.map(RolloutState::stage).orElse(null)),
        "ms",
        millis);
  }

  void notWritten(RolloutState state, Throwable failure, long millis) {
    log.event(
        "rollout_not_written",
        "service",
        state.order().service(),
        "stage",
        state.stage(),
        "reason",
        String.valueOf(failure.getMessage()),
        "ms",
        millis);
  }

  private static String nameOf(@Nullable RolloutStage stage) {
    return stage == null ? NONE : stage.name();
  }
}
