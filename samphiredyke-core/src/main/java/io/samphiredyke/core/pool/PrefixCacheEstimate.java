package io.samphiredyke.core.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Prompt parts that an engine probably keeps, from the requests that were sent there.
 *
 * <p>Like the engine, it drops what was used least recently. A part counts only if all parts before
 * it are kept too.
 */
final class PrefixCacheEstimate {

  private final long capacityTokens;
  private final LinkedHashMap<Long, Integer> parts = new LinkedHashMap<>(64, 0.75f, true);
  private long tokens;

  PrefixCacheEstimate(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns how many leading tokens of a prompt are kept. */
  int cachedTokens(List<PromptPart> prompt) {
    int cached = 0;
    for (PromptPart part : prompt) {
      if (!parts.containsKey(part.id())) {
        return cached;
      }
      cached += part.tokens();
    }
    return cached;
  }

  /** Notes that a prompt was read. */
  void add(List<PromptPart> prompt) {
    List<PromptPart> lastFirst = new ArrayList<>(prompt);
    java.util.Collections.reverse(lastFirst);
    for (PromptPart part : lastFirst) {
      Integer old = parts.put(part.id(), part.tokens());
      tokens += part.tokens() - (old == null ? 0 : old);
    }
    while (tokens > capacityTokens && !parts.isEmpty()) {
      Map.Entry<Long, Integer> eldest = parts.entrySet().iterator().next();
      tokens -= eldest.getValue();
      parts.remove(eldest.getKey());
    }
  }
}
