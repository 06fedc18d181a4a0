package io.samphiredyke.bench.membership;

import io.samphiredyke.core.membership.ChangeCause;
import io.samphiredyke.core.membership.IncarnationId;
import io.samphiredyke.core.membership.MemberChange;
import io.samphiredyke.core.membership.MemberState;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Compares the changes of all views with the actual starts, stops and pauses of processes. */
final class ViewObserver implements SimulatedGroup.Observer {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1000L;

  final Histogram detectionLatency = new Histogram(SIGNIFICANT_DIGITS);
  final Histogram firstDetectionLatency = new Histogram(SIGNIFICANT_DIGITS);
  final Histogram disseminationLatency = new Histogram(SIGNIFICANT_DIGITS);
  final Histogram joinLatency = new Histogram(SIGNIFICANT_DIGITS);
  long falseSuspicions;
  long falseDeaths;
  long pausedDeaths;

  private final SimulatedGroup group;
  private final Map<IncarnationId, Long> stoppedAt = new HashMap<>();
  private final Map<IncarnationId, Long> firstDeathAt = new HashMap<>();
  private final Map<IncarnationId, Long> startedAt = new HashMap<>();
  private final Map<String, SimulatedNode> byAddress = new HashMap<>();
  private boolean partitioned;

  ViewObserver(SimulatedGroup group) {
    this.group = group;
    for (SimulatedNode node : group.nodes) {
      byAddress.put(node.address, node);
    }
  }

  /** Sets whether the regions are partitioned, so that deaths across regions are not false. */
  void partitioned(boolean value) {
    partitioned = value;
  }

  /** Records that the process on a host stops now. */
  void recordStop(SimulatedNode node) {
    stoppedAt.put(node.member().incarnation(), group.now());
  }

  /** Records that the process on a host has just been started. */
  void recordStart(SimulatedNode node) {
    startedAt.put(node.member().incarnation(), group.now());
  }

  @Override
  public void changed(long now, SimulatedNode observer, MemberChange change) {
    IncarnationId id = change.member().incarnation();
    Long stoppedNanos = stoppedAt.get(id);
    if (stoppedNanos != null && !change.current().isLive()) {
      recordDetection(id, now, stoppedNanos);
      return;
    }
    Long startedNanos = startedAt.get(id);
    if (startedNanos != null && change.cause() == ChangeCause.JOINED) {
      if (observer.startedAt < startedNanos) {
        joinLatency.recordValue((now - startedNanos) / NANOS_PER_MICRO);
      }
      return;
    }
    SimulatedNode subject = byAddress.get(change.member().address());
    if (subject == null || stoppedNanos != null) {
      return;
    }
    if (!partitioned || subject.region == observer.region) {
      recordFalseDetection(subject, observer, change);
    }
  }

  private void recordDetection(IncarnationId id, long now, long stoppedNanos) {
    Long firstDetectedNanos = firstDeathAt.putIfAbsent(id, now);
    if (firstDetectedNanos == null) {
      firstDetectionLatency.recordValue((now - stoppedNanos) / NANOS_PER_MICRO);
    }
    detectionLatency.recordValue((now - stoppedNanos) / NANOS_PER_MICRO);
    disseminationLatency.recordValue(
        (now - (firstDetectedNanos == null ? now : firstDetectedNanos)) / NANOS_PER_MICRO);
  }

  private void recordFalseDetection(
      SimulatedNode subject, SimulatedNode observer, MemberChange change) {
    boolean died = change.current() == MemberState.DEAD;
    if (died && subject.paused) {
      pausedDeaths++;
    } else if (died) {
      falseDeaths++;
    } else if (change.cause() == ChangeCause.SUSPECTED && !subject.paused) {
      falseSuspicions++;
    }
  }

  static double millis(long micros) {
    return micros / 1000.0;
  }
}
