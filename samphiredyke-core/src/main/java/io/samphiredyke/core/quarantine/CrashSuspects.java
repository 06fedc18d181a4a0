package io.samphiredyke.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Relates the crashes of endpoint instances to the requests that they were running.
 *
 * <p>A crash ends all requests of an instance, and the callers of the sound ones repeat them as
 * well. A request is found to crash endpoints if {@link #CRASHES} instances ended under it and no
 * other request accounts for the same crashes. A request that is served, or an instance that
 * responds after its supposed crash, removes the evidence. Requests under which two instances ended
 * are kept apart, so that the next crash tells them apart.
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

  /** A crashed instance. */
  private static final class Crash {
    final long firstReportAt;
    long lastReportAt;
    boolean isConfirmed;
    boolean isExplained;

    Crash(long now) {
      firstReportAt = now;
      lastReportAt = now;
    }
  }

  private final Map<RequestFingerprint, Map<String, Crash>> suspects = new LinkedHashMap<>();
  private final Map<String, Crash> crashes = bounded(MAX_INSTANCES);
  private final Map<String, Long> dismissedAt = bounded(MAX_INSTANCES);

  private static <K, V> Map<K, V> bounded(int size) {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > size;
      }
    };
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
    return suspects.remove(request) != null;
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
   * Returns the requests that are found to crash endpoints; they are suspected no longer. Requests
   * that fit alike are found together.
   */
  public List<RequestFingerprint> findCauses(long now) {
    List<RequestFingerprint> found = new ArrayList<>();
    for (Map.Entry<RequestFingerprint, Map<String, Crash>> entry : suspects.entrySet()) {
      Map<String, Crash> instances = entry.getValue();
      if (instances.size() >= CRASHES
          && isSettled(instances, now)
          && isBestExplanation(entry.getKey(), instances.keySet())) {
        found.add(entry.getKey());
      }
    }
    found.forEach(this::explain);
    return found;
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

  /** Accounts for the crashes of a request, so that they tell nothing about others. */
  public void explain(RequestFingerprint request) {
    Map<String, Crash> instances = suspects.remove(request);
    if (instances != null) {
      instances.forEach(
          (instance, crash) -> {
            crash.isExplained = true;
            forget(instance);
          });
    }
  }

  /** Accounts for a crash by a request that is already known to cause crashes. */
  public void explain(String instance, long now) {
    crashes.computeIfAbsent(instance, key -> new Crash(now)).isExplained = true;
    forget(instance);
  }
}
