package io.samphiredyke.gateway.rollout;

import io.samphiredyke.core.rollout.RolloutOrder;
import io.samphiredyke.core.rollout.RolloutStage;
import io.samphiredyke.core.rollout.RolloutState;
import io.samphiredyke.core.rollout.VersionSplit;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** What this host knows of the roll-out of one service. Times are nanoseconds of its clock. */
final class ServiceRollout {

  final VersionSplit split;
  private RolloutOrder order;
  private @Nullable RolloutState state;
  private final long orderedAt;
  private long stageSince;
  private long heardAt;
  boolean isScheduler;
  long schedulerSince;
  boolean isRead;
  boolean isWriting;
  @Nullable RolloutStage storedStage;
  long nextBroadcastAt;

  ServiceRollout(RolloutOrder order, long now) {
    this.order = order;
    this.split = new VersionSplit(order);
    this.orderedAt = now;
    this.heardAt = now;
    this.nextBroadcastAt = now;
  }

  RolloutOrder order() {
    return order;
  }

  /** Replaces the order by the same one as it was known before the store was restored. */
  void setOrder(RolloutOrder original) {
    order = original;
  }

  @Nullable RolloutState state() {
    return state;
  }

  /** Returns the first state; time before it, as until the store was read, counts. */
  RolloutState begin(long now) {
    RolloutState first = RolloutState.begin(order);
    return first.next(first.stage(), millisBetween(orderedAt, now), first.reason());
  }

  void enter(RolloutState next, long now) {
    RolloutState known = state;
    if (known == null || known.stage() != next.stage()) {
      stageSince = now;
    }
    state = next;
    heardAt = now;
  }

  /** Records that another host has confirmed the stage. */
  void confirmed(long now) {
    heardAt = now;
  }

  long heardAt() {
    return heardAt;
  }

  /** Returns the time since the order, milliseconds. */
  long elapsedMillis(RolloutState known, long now) {
    return known.elapsedMillis() + millisBetween(stageSince, now);
  }

  /** Returns for how long this host has decided in the present stage, milliseconds. */
  long decidingInStageMillis(long now) {
    return Math.min(millisBetween(stageSince, now), millisBetween(schedulerSince, now));
  }

  /** Returns for how long this host has decided, milliseconds. */
  long decidingMillis(long now) {
    return millisBetween(schedulerSince, now);
  }

  long inStageNanos(long now) {
    return now - stageSince;
  }

  private static long millisBetween(long start, long end) {
    return TimeUnit.NANOSECONDS.toMillis(end - start);
  }
}
