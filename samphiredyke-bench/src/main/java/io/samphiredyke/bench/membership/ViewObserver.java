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

  private static final int DIGITS = 3;
  private static final long MICRO = 1000L;

  final Histogram detection = new Histogram(DIGITS);
  final Histogram firstDetection = new Histogram(DIGITS);
  final Histogram dissemination = new Histogram(DIGITS);
  final Histogram joins = new Histogram(DIGITS);
  long falseSuspicions;
  long falseDeaths;
  long pausedDeaths;

  private final SimulatedGroup group;
  private final Map<IncarnationId, Long> goneAt = new HashMap<>();
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
  void stops(SimulatedNode node) {
    goneAt.put(node.member().incarnation(), group.now());
  }

  /** Notes that a process was started now. */
  void started(SimulatedNode node) {
    startedAt.put(node.member().incarnation(), group.now());
  }

  @Override
  public void changed(long now, SimulatedNode observer, MemberChange change) {
    IncarnationId id = change.member().incarnation();
    Long gone = goneAt.get(id);
    if (gone != null && !change.current().isLive()) {
      detected(id, now, gone);
      return;
    }
    Long start = startedAt.get(id);
    if (start != null && change.cause() == ChangeCause.JOINED) {
      if (observer.startedAt < start) {
        joins.recordValue((now - start) / MICRO);
      }
      return;
    }
    SimulatedNode subject = byAddress.get(change.member().address());
    if (subject == null || gone != null) {
      return;
    }
    if (!partitioned || subject.region == observer.region) {
      wronged(subject, observer, change);
    }
  }

  private void detected(IncarnationId id, long now, long gone) {
    Long first = firstDeathAt.putIfAbsent(id, now);
    if (first == null) {
      firstDetection.recordValue((now - gone) / MICRO);
    }
    detection.recordValue((now - gone) / MICRO);
    dissemination.recordValue((now - (first == null ? now : first)) / MICRO);
  }

  private void wronged(SimulatedNode subject, SimulatedNode observer, MemberChange change) {
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
