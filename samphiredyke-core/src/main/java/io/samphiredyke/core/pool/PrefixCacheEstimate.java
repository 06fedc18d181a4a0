package io.samphiredyke.core.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimate of the contents of an engine's prefix cache, from the requests that were sent to it.
 *
 * <p>Evicts the least recently used parts, as the engine does. A part of a prompt counts as cached
 * only if all parts before it are cached too.
 */
final class PrefixCacheEstimate {

  private final long capacityTokens;
  private final LinkedHashMap<Long, Integer> parts = new LinkedHashMap<>(64, 0.75f, true);
  private long tokens;

  PrefixCacheEstimate(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns how many leading tokens of a prompt are probably cached. */
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

  /** Records a prompt that was sent to the engine. */
  void add(List<PromptPart> prompt) {
    // The first parts are used last, because without them the later ones do not count as cached.
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
