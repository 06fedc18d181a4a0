package io.samphiredyke.core.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Relates the crashes of endpoints to the prompt parts of the requests that had not begun to be
 * answered.
 *
 * <p>A crash ends all requests of an endpoint, and most of their parts have nothing to do with it:
 * other requests with these parts are served. A part is found to crash endpoints if several
 * instances ended under it, no request with it was served since the first of them, and no other
 * part accounts for the same crashes. The last part of a prompt belongs to the request itself and
 * is not considered.
 */
final class CrashEvidence {

  /** Crashes after which a part that was never served is found, if no other part fits as well. */
  private static final int CRASHES = 3;

  /** Crashes after which a part is found although others fit as well, or it was served before. */
  private static final int CRASHES_IN_DOUBT = 5;

  /** Bounds of what is kept; the parts that were concerned least recently are dropped. */
  private static final int MAX_SUSPECTS = 4_096;

  private static final int MAX_SERVED = 4_096;
  private static final int MAX_EXPLAINED = 256;

  /** Parts that one crash can show to be the cause; each is announced to all hosts. */
  private static final int MAX_FOUND = 32;

  /** What is known of a suspected part. */
  private record Evidence(Set<String> instances, boolean wasServed) {}

  private final Map<Long, Set<String>> suspects = bounded(MAX_SUSPECTS);
  private final Map<Long, Boolean> served = bounded(MAX_SERVED);
  private final Map<String, Boolean> explained = bounded(MAX_EXPLAINED);

  private static <K, V> Map<K, V> bounded(int size) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > size;
      }
    };
  }

  /** Records that a request was served, which clears its parts. */
  void served(List<PromptPart> parts) {
    for (PromptPart part : suspectsOf(parts)) {
      suspects.remove(part.id());
      served.put(part.id(), true);
    }
  }

  /**
   * Records that the connection of a request ended before its response began.
   *
   * @param instance instance of the endpoint
   * @return the parts that are found to crash endpoints
   */
  List<Long> brokenOff(String instance, List<PromptPart> parts) {
    if (explained.containsKey(instance)) {
      return List.of();
    }
    List<PromptPart> concerned = suspectsOf(parts);
    for (PromptPart part : concerned) {
      suspects.computeIfAbsent(part.id(), id -> new HashSet<>()).add(instance);
    }
    List<Long> found = findCauses(concerned, instance);
    found.forEach(this::explain);
    return found;
  }

  /**
   * Returns the parts that are found. Parts with the same evidence are looked at once, and of many
   * that fit alike the last ones are found, as those before them are shared more widely.
   */
  private List<Long> findCauses(List<PromptPart> concerned, String newest) {
    Map<Evidence, List<Long>> alike = new LinkedHashMap<>();
    for (PromptPart part : concerned) {
      Set<String> instances = suspects.getOrDefault(part.id(), Set.of());
      if (instances.size() >= CRASHES) {
        Evidence known = new Evidence(instances, served.containsKey(part.id()));
        alike.computeIfAbsent(known, key -> new ArrayList<>()).add(part.id());
      }
    }
    List<Long> found = new ArrayList<>();
    for (Map.Entry<Evidence, List<Long>> entry : alike.entrySet()) {
      if (isFound(entry.getKey(), entry.getValue().get(0), newest)) {
        found.addAll(entry.getValue());
      }
    }
    return List.copyOf(found.subList(Math.max(0, found.size() - MAX_FOUND), found.size()));
  }

  /** Records a crash that a part known to crash endpoints accounts for. */
  void explainedBy(long partId, String instance) {
    explain(instance);
    suspects.remove(partId);
  }

  private static List<PromptPart> suspectsOf(List<PromptPart> parts) {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /**
   * Returns whether a part crashes endpoints.
   *
   * @param evidence what is known of the part
   * @param newest instance whose end is being recorded; the reports of other requests that it ran
   *     may still be under way
   */
  private boolean isFound(Evidence evidence, long partId, String newest) {
    Set<String> instances = evidence.instances();
    boolean wasServed = evidence.wasServed();
    Set<String> earlier = new HashSet<>(instances);
    earlier.remove(newest);
    boolean hasEqual = false;
    for (Map.Entry<Long, Set<String>> other : suspects.entrySet()) {
      boolean otherWasServed = served.containsKey(other.getKey());
      if (other.getKey() == partId
          || (otherWasServed && !wasServed)
          || !other.getValue().containsAll(earlier)) {
        continue;
      }
      boolean fitsBetter = otherWasServed != wasServed;
      boolean isReported = other.getValue().contains(newest);
      if (fitsBetter || !isReported || other.getValue().size() > instances.size()) {
        return false;
      }
      hasEqual = true;
    }
    return instances.size() >= CRASHES_IN_DOUBT || !(hasEqual || wasServed);
  }

  private void explain(long partId) {
    Set<String> instances = suspects.remove(partId);
    if (instances != null) {
      instances.forEach(this::explain);
    }
  }

  private void explain(String instance) {
    explained.put(instance, true);
    suspects.values().forEach(instances -> instances.remove(instance));
    suspects.values().removeIf(Set::isEmpty);
  }

  /** Returns the instances that ended under a part, or null if it is not suspected. */
  @Nullable Set<String> instances(long partId) {
    return suspects.get(partId);
  }
}
