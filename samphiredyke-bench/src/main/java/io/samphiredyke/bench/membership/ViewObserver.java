package io.samphiredyke.bench.membership;

import io.samphiredyke.core.membership.ChangeCause;
import io.samphiredyke.core.membership.IncarnationId;
import io.samphiredyke.core.membership.MemberChange;
import io.samphiredyke.core.membership.MemberState;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Compares the changes of all views with what really happened. */
final class ViewObserver implements SimulatedGroup.Observer {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1000L;

  final Histogram detection = new Histogram(SIGNIFICANT_DIGITS);
  final Histogram firstDetection = new Histogram(SIGNIFICANT_DIGITS);
  final Histogram dissemination = new Histogram(SIGNIFICANT_DIGITS);
  final Histogram joins = new Histogram(SIGNIFICANT_DIGITS);
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

  /** Notes that deaths seen across regions are right from now on, or no longer are. */
  void partitioned(boolean value) {
    partitioned = value;
  }

  /** Notes that the process on a host stops now. */
  void recordStop(SimulatedNode node) {
    stoppedAt.put(node.member().incarnation(), group.now());
  }

  /** Notes that a process was started now. */
  void recordStart(SimulatedNode node) {
    startedAt.put(node.member().incarnation(), group.now());
  }

  @Override
  public void changed(long now, SimulatedNode observer, MemberChange change) {
    IncarnationId id = change.member().incarnation();
    Long gone = stoppedAt.get(id);
    if (gone != null && !change.current().isLive()) {
      recordDetection(id, now, gone);
      return;
    }
    Long start = startedAt.get(id);
    if (start != null && change.cause() == ChangeCause.JOINED) {
      if (observer.startedAt < start) {
        joins.recordValue((now - start) / NANOS_PER_MICRO);
      }
      return;
    }
    SimulatedNode subject = byAddress.get(change.member().address());
    if (subject == null || gone != null) {
      return;
    }
    if (!partitioned || subject.region == observer.region) {
      recordFalseVerdict(subject, observer, change);
    }
  }

  private void recordDetection(IncarnationId id, long now, long gone) {
    Long first = firstDeathAt.putIfAbsent(id, now);
    if (first == null) {
      firstDetection.recordValue((now - gone) / NANOS_PER_MICRO);
    }
    detection.recordValue((now - gone) / NANOS_PER_MICRO);
    dissemination.recordValue((now - (first == null ? now : first)) / NANOS_PER_MICRO);
  }

  private void recordFalseVerdict(
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
