package io.samphiredyke.core.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Endpoints that read the parts of prompts last and probably hold them in their caches. */
final class PromptHolders {

  /** Remembered parts of prompts; bounds the memory to about two megabytes. */
  private static final int MAX_PROMPT_PARTS = 8_192;

  /** Endpoints remembered for a part, those that read it last; the others may be busy. */
  private static final int MAX_HOLDERS = 4;

  /** Endpoints of a prompt from which on no further parts are looked at. */
  private static final int MAX_CANDIDATES = 16;

  private final Map<Long, List<String>> holders =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, List<String>> eldest) {
          return size() > MAX_PROMPT_PARTS;
        }
      };

  private List<String> of(PromptPart part) {
    return holders.getOrDefault(part.id(), List.of());
  }

  /**
   * Returns the ids of endpoints that read a part of a prompt, a bounded number, those of the last
   * parts first, as they probably hold the longest prefix.
   */
  Set<String> of(WorkEstimate work) {
    Set<String> ids = new LinkedHashSet<>();
    List<PromptPart> parts = work.cacheParts();
    for (int i = parts.size() - 1; i >= 0 && ids.size() < MAX_CANDIDATES; i--) {
      ids.addAll(of(parts.get(i)));
    }
    return ids;
  }

  /** Records that an endpoint has read a prompt. */
  void add(String endpointId, WorkEstimate work) {
    for (PromptPart part : work.cacheParts()) {
      List<String> known = of(part);
      if (known.isEmpty() || !known.get(0).equals(endpointId)) {
        holders.put(part.id(), withFirst(endpointId, known));
      }
    }
  }

  private static List<String> withFirst(String id, List<String> known) {
    List<String> updated = new ArrayList<>(MAX_HOLDERS);
    updated.add(id);
    for (String other : known) {
      if (updated.size() < MAX_HOLDERS && !other.equals(id)) {
        updated.add(other);
      }
    }
    return updated;
  }
}
