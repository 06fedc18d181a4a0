package io.samphiredyke.core.pool;

import io.samphiredyke.core.quarantine.Trials;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Prompt parts whose requests must not be sent to endpoints, because they crash them.
 *
 * <p>When the time of a part has passed, one request with it is admitted as a probe. If the
 * endpoint serves it, the part is released; if it crashes, the part gets another strike and is
 * quarantined for longer, see {@link Trials}. Times are nanoseconds of a monotonic clock.
 */
public final class PartQuarantine {

  /** Time within which a probe is expected to end; after it, another one is admitted. */
  private static final long PROBE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Longest retry time of requests that are refused while a probe is under way. */
  private static final long RETRY_DURING_PROBE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Bound of the parts that are kept; those that end first are dropped. */
  private static final int MAX_PARTS = 1_024;

  /**
   * A quarantined part.
   *
   * @param strikes how often it has been quarantined
   * @param until when the next probe is admitted
   * @param isProbing whether a probe has been admitted
   */
  public record Entry(int strikes, long until, boolean isProbing) {}

  private final Map<Long, Entry> entries = new HashMap<>();

  /** Returns for how long a prompt is excluded, 0 if it is not. */
  public long remainingNanos(List<PromptPart> parts, long now) {
    long remaining = 0;
    if (!entries.isEmpty()) {
      for (PromptPart part : parts) {
        Entry entry = entries.get(part.id());
        remaining = entry == null ? remaining : Math.max(remaining, entry.until() - now);
      }
    }
    return remaining;
  }

  /** Returns after which time a request that is excluded should come again. */
  public long retryAfterNanos(List<PromptPart> parts, long now) {
    long retryAfter = 0;
    for (PromptPart part : parts) {
      Entry entry = entries.get(part.id());
      if (entry != null) {
        long remaining = entry.until() - now;
        retryAfter =
            Math.max(
                retryAfter,
                entry.isProbing() ? Math.min(RETRY_DURING_PROBE_NANOS, remaining) : remaining);
      }
    }
    return retryAfter;
  }

  /** Returns whether a prompt contains a quarantined part, also one whose time has passed. */
  public boolean contains(List<PromptPart> parts) {
    return !entries.isEmpty() && parts.stream().anyMatch(part -> entries.containsKey(part.id()));
  }

  /** Returns whether a request may be sent; it is a probe of parts whose time has passed. */
  boolean admit(List<PromptPart> parts, long now) {
    if (remainingNanos(parts, now) > 0) {
      return false;
    }
    if (contains(parts)) {
      for (PromptPart part : parts) {
        entries.computeIfPresent(
            part.id(), (id, entry) -> new Entry(entry.strikes(), now + PROBE_NANOS, true));
      }
    }
    return true;
  }

  /** Quarantines a part, for longer than the last time. */
  Entry strike(long partId, long now) {
    Entry known = entries.get(partId);
    int strikes = known == null ? 1 : known.strikes() + 1;
    Entry entry = new Entry(strikes, now + Trials.nanosUntilNext(strikes), false);
    put(partId, entry);
    return entry;
  }

  /**
   * Adds a part that another host quarantined.
   *
   * @return whether it was unknown, or is quarantined for longer now
   */
  public boolean add(long partId, Entry announced) {
    Entry known = entries.get(partId);
    if (known != null && known.strikes() >= announced.strikes()) {
      return false;
    }
    put(partId, announced);
    return true;
  }

  private void put(long partId, Entry entry) {
    entries.put(partId, entry);
    if (entries.size() > MAX_PARTS) {
      entries.remove(
          entries.entrySet().stream()
              .min((a, b) -> Long.signum(a.getValue().until() - b.getValue().until()))
              .map(Map.Entry::getKey)
              .orElseThrow());
    }
  }

  /** Releases a part; returns whether it was quarantined. */
  public boolean release(long partId) {
    return entries.remove(partId) != null;
  }

  /** Returns the entry of a part, or null. */
  public @Nullable Entry find(long partId) {
    return entries.get(partId);
  }

  /** Returns the number of quarantined parts. */
  public int size() {
    return entries.size();
  }
}
