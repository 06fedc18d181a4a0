package io.samphiredyke.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Relates the crashes of endpoint instances to the requests that they were running.
 *
 * <p>A crash ends all requests of an instance, and the callers of the sound ones repeat them as
 * well. A request is found to crash endpoints if {@link #CRASHES} instances ended under it and no
 * other request accounts for the same crashes. A request that is served, or an instance that
 * responds after its supposed crash, removes the evidence. Requests under which two instances ended
 * are kept apart, so that the next crash tells them apart.
 *
 * <p>The crashes of a request that was found tell nothing about others; if it turns out to be sound
 * later, they are evidence again.
 *
 * <p>Each host has all observations of all hosts and decides alone. Times are nanoseconds of a
 * monotonic clock.
 */
public final class CrashSuspects {

  /** Crashes under which a request is found, if no other request fits as well. */
  public static final int CRASHES = 3;

  /** Crashes after which a request is found although others fit as well. */
  private static final int CRASHES_IN_DOUBT = 5;

  /** Crashes from which on a request runs beside no other one with as many. */
  private static final int CRASHES_TO_ISOLATE = 2;

  /** Time within which all hosts have reported what an instance ran when it crashed. */
  public static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Time for which reports on an instance that has responded are ignored as late. */
  private static final long DISMISS_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Bounds of what is kept; a suspect with the fewest crashes is dropped first. */
  private static final int MAX_SUSPECTS = 1_024;

  private static final int MAX_INSTANCES = 1_024;
  private static final int MAX_FOUND = 256;
  private static final int MAX_CLEARED = 64;

  /** Crashes later than the third from which on a request has one trial only. */
  private static final int TOLERATED_LATER = 2;

  /** A request that may have crashed an instance. */
  public record Suspicion(RequestFingerprint request, String instance) {}

  /** A crashed instance. */
  private static final class Crash {
    final long firstReportAt;
    long lastReportAt;
    boolean isConfirmed;
    boolean isExplained;

    /** Requests that ran as well, but are not suspected as another one accounts for the crash. */
    final Set<RequestFingerprint> cleared = new HashSet<>();

    Crash(long now) {
      firstReportAt = now;
      lastReportAt = now;
    }

    void clear(RequestFingerprint request) {
      if (cleared.size() < MAX_CLEARED) {
        cleared.add(request);
      }
    }

    void acquit(RequestFingerprint request) {
      cleared.remove(request);
    }
  }

  private final Map<RequestFingerprint, Map<String, Crash>> suspects = new LinkedHashMap<>();
  private final Map<String, Crash> crashes = bounded(MAX_INSTANCES);
  private final Map<String, Long> dismissedAt = bounded(MAX_INSTANCES);
  private final Map<RequestFingerprint, Map<String, Crash>> found = bounded(MAX_FOUND);

  private static <K, V> Map<K, V> bounded(int size) {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > size;
      }
    };
  }

  /**
   * Returns the crashes of which requests are suspected, those of the most suspected requests
   * first.
   *
   * @param limit largest number of crashes
   */
  public List<Suspicion> suspicions(int limit) {
    return suspects.entrySet().stream()
        .sorted(Comparator.comparingInt(entry -> -entry.getValue().size()))
        .flatMap(
            entry ->
                entry.getValue().keySet().stream()
                    .map(instance -> new Suspicion(entry.getKey(), instance)))
        .limit(limit)
        .toList();
  }

  /** Returns whether no request is suspected. */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Returns the number of suspected requests. */
  public int size() {
    return suspects.size();
  }

  /**
   * Returns whether an instance was reported to have crashed before a request was sent to it, so
   * that the request can't be the cause.
   */
  public boolean hadCrashedBefore(String instance, long sentAt) {
    Crash crash = crashes.get(instance);
    return crash != null && sentAt - crash.firstReportAt > 0;
  }

  /**
   * Records that an instance ended its connection while it ran a request.
   *
   * @return whether this is new
   */
  public boolean crashed(RequestFingerprint request, String instance, long now) {
    Long dismissed = dismissedAt.get(instance);
    if (dismissed != null && now - dismissed < DISMISS_NANOS) {
      return false;
    }
    Crash crash = crashes.computeIfAbsent(instance, key -> new Crash(now));
    if (crash.isExplained) {
      crash.clear(request);
      return false;
    }
    Map<String, Crash> instances = suspects.computeIfAbsent(request, key -> new HashMap<>());
    if (instances.putIfAbsent(instance, crash) != null) {
      return false;
    }
    crash.lastReportAt = now;
    if (suspects.size() > MAX_SUSPECTS) {
      dropLeastSuspected(request);
    }
    return true;
  }

  private void dropLeastSuspected(RequestFingerprint newest) {
    RequestFingerprint least = null;
    int fewest = Integer.MAX_VALUE;
    for (Map.Entry<RequestFingerprint, Map<String, Crash>> entry : suspects.entrySet()) {
      if (entry.getValue().size() < fewest && !entry.getKey().equals(newest)) {
        least = entry.getKey();
        fewest = entry.getValue().size();
      }
    }
    suspects.remove(least);
  }

  /**
   * Records that a request was served, which shows that it is sound.
   *
   * @return whether it was suspected
   */
  public boolean served(RequestFingerprint request) {
    restore(found.remove(request));
    found.values().forEach(crashed -> crashed.values().forEach(crash -> crash.acquit(request)));
    return suspects.remove(request) != null;
  }

  /** Counts the crashes again that a request accounted for until it was served. */
  private void restore(@Nullable Map<String, Crash> crashed) {
    if (crashed == null) {
      return;
    }
    crashed.forEach(
        (instance, crash) -> {
          crash.isExplained = false;
          crash.cleared.forEach(
              other ->
                  suspects
                      .computeIfAbsent(other, key -> new HashMap<>())
                      .putIfAbsent(instance, crash));
          crash.cleared.clear();
        });
  }

  /** Records that an instance is gone, so that a response of its address is another's. */
  public void confirmed(String instance) {
    Crash crash = crashes.get(instance);
    if (crash != null) {
      crash.isConfirmed = true;
    }
  }

  /**
   * Records that an instance responded to a request, which shows that it did not crash before.
   *
   * @param sentAt when the request was sent
   * @return whether a crash of the instance was recorded until now
   */
  public boolean responded(String instance, long sentAt, long now) {
    return hadCrashedBefore(instance, sentAt) && dismiss(instance, now);
  }

  /**
   * Removes the crash of an instance of which another host had a response, unless it is confirmed.
   *
   * @return whether it was removed
   */
  public boolean dismiss(String instance, long now) {
    Crash crash = crashes.get(instance);
    if (crash == null || crash.isConfirmed || crash.isExplained) {
      return false;
    }
    crashes.remove(instance);
    dismissedAt.put(instance, now);
    forget(instance);
    return true;
  }

  private void forget(String instance) {
    suspects.values().forEach(instances -> instances.remove(instance));
    suspects.values().removeIf(Map::isEmpty);
  }

  /** Returns whether a request must run beside no other one that this holds for. */
  public boolean mustBeIsolated(RequestFingerprint request) {
    return crashesOf(request) >= CRASHES_TO_ISOLATE;
  }

  /** Returns whether a request is suspected. */
  public boolean isSuspect(RequestFingerprint request) {
    return suspects.containsKey(request);
  }

  /** Returns whether enough instances ended under a request, but reports are still under way. */
  public boolean isUndecided(RequestFingerprint request, long now) {
    Map<String, Crash> instances = suspects.get(request);
    return instances != null && instances.size() >= CRASHES && !isSettled(instances, now);
  }

  private static boolean isSettled(Map<String, Crash> instances, long now) {
    for (Crash crash : instances.values()) {
      if (now - crash.lastReportAt < SETTLE_NANOS) {
        return false;
      }
    }
    return true;
  }

  private int crashesOf(RequestFingerprint request) {
    Map<String, Crash> instances = suspects.get(request);
    return instances == null ? 0 : instances.size();
  }

  /**
   * Returns the requests that are found to crash endpoints; they are suspected no longer. The one
   * that accounts for the most crashes is found first, together with those that fit alike, and its
   * crashes no longer count against the others.
   */
  public List<RequestFingerprint> findCauses(long now) {
    List<RequestFingerprint> causes = new ArrayList<>();
    for (List<RequestFingerprint> next = findNext(now); !next.isEmpty(); next = findNext(now)) {
      causes.addAll(next);
      next.forEach(this::explain);
    }
    return causes;
  }

  private List<RequestFingerprint> findNext(long now) {
    List<RequestFingerprint> best = new ArrayList<>();
    Set<String> accounted = Set.of();
    for (Map.Entry<RequestFingerprint, Map<String, Crash>> entry : suspects.entrySet()) {
      Set<String> instances = entry.getValue().keySet();
      boolean isCandidate =
          instances.size() >= Math.max(CRASHES, accounted.size())
              && isSettled(entry.getValue(), now)
              && isBestExplanation(entry.getKey(), instances);
      if (!isCandidate) {
        continue;
      }
      if (instances.size() > accounted.size()) {
        best.clear();
        accounted = instances;
      }
      if (instances.equals(accounted)) {
        best.add(entry.getKey());
      }
    }
    return best;
  }

  private boolean isBestExplanation(RequestFingerprint request, Set<String> instances) {
    for (Map.Entry<RequestFingerprint, Map<String, Crash>> other : suspects.entrySet()) {
      Set<String> others = other.getValue().keySet();
      if (other.getKey().equals(request) || !others.containsAll(instances)) {
        continue;
      }
      boolean isEqual = others.size() == instances.size();
      if (!isEqual || instances.size() < CRASHES_IN_DOUBT) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns with how many strikes a request that was found is quarantined: each crash since the
   * third one that came later counts like a trial, but one trial is left.
   */
  public int strikesOf(RequestFingerprint request) {
    List<Long> times = new ArrayList<>();
    found.getOrDefault(request, Map.of()).values().forEach(crash -> times.add(crash.firstReportAt));
    if (times.size() < CRASHES) {
      return 1;
    }
    times.sort(Long::compare);
    long third = times.get(CRASHES - 1);
    long later = times.stream().filter(at -> at - third > SETTLE_NANOS).count();
    return later < TOLERATED_LATER ? 1 : Trials.MAX_STRIKES - 1;
  }

  /** Accounts for the crashes of a request, so that they tell nothing about others. */
  public void explain(RequestFingerprint request) {
    Map<String, Crash> instances = suspects.remove(request);
    if (instances != null) {
      instances.forEach((instance, crash) -> explain(request, instance, crash));
    }
  }

  /** Accounts for a crash by a request that is already known to cause crashes. */
  public void explain(RequestFingerprint request, String instance, long now) {
    explain(request, instance, crashes.computeIfAbsent(instance, key -> new Crash(now)));
  }

  private void explain(RequestFingerprint request, String instance, Crash crash) {
    crash.isExplained = true;
    found.computeIfAbsent(request, key -> new HashMap<>()).put(instance, crash);
    suspects.forEach(
        (other, instances) -> {
          if (instances.containsKey(instance)) {
            crash.clear(other);
          }
        });
    forget(instance);
  }
}
