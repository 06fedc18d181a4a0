package io.samphiredyke.core.pool;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;

/**
 * Estimated work of a request for an endpoint.
 *
 * @param promptTokens tokens of the prompt; 0 for a plain request
 * @param outputTokens expected tokens of the output; 0 for a plain request
 * @param parts parts of the prompt in order; may be empty
 * @param cacheParts parts by which prefix caches are estimated, a bounded number: of a prompt with
 *     many parts, those between the first ones and the last one count as a single part, which is
 *     cached only for prompts that have all of them
 */
public record WorkEstimate(
    int promptTokens, int outputTokens, List<PromptPart> parts, List<PromptPart> cacheParts) {

  /** Bound of the parts by which prefix caches are estimated. */
  static final int MAX_CACHE_PARTS = 64;

  /** The work of a plain request, which has no tokens. */
  public static final WorkEstimate PLAIN = new WorkEstimate(0, 0, List.of());

  /** Creates an estimate. */
  public WorkEstimate(int promptTokens, int outputTokens, List<PromptPart> parts) {
    this(promptTokens, outputTokens, parts, merge(parts));
  }

  private static List<PromptPart> merge(List<PromptPart> parts) {
    if (parts.size() <= MAX_CACHE_PARTS) {
      return parts;
    }
    HashStream64 ids = Hashing.komihash5_0().hashStream();
    List<PromptPart> merged = new ArrayList<>(MAX_CACHE_PARTS);
    int tokens = 0;
    int position = 0;
    for (PromptPart part : parts) {
      position++;
      boolean isBetween = position > MAX_CACHE_PARTS - 2 && position < parts.size();
      if (isBetween) {
        ids.putLong(part.id());
        tokens += part.tokens();
        continue;
      }
      if (position == parts.size()) {
        merged.add(new PromptPart(ids.getAsLong(), tokens));
      }
      merged.add(part);
    }
    return List.copyOf(merged);
  }

  /** Returns whether this is the work of a generation, which needs a model engine. */
  public boolean isGeneration() {
    return promptTokens > 0;
  }
}
