package io.samphiredyke.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrefixCacheIndexTest {

  private static final int BLOCK = PromptFingerprint.BLOCK_CHARS;

  private final PromptFingerprint longPrompt = PromptFingerprint.of("x".repeat(10 * BLOCK));
  private final PromptFingerprint sharing =
      PromptFingerprint.of("x".repeat(4 * BLOCK) + "y".repeat(BLOCK));

  @Test
  void dispatchedPromptIsCachedByThatEndpointOnly() {
    PrefixCacheIndex index = new PrefixCacheIndex(100);
    index.dispatched("a", longPrompt);
    assertThat(index.cachedBlocks("a", sharing)).isEqualTo(4);
    assertThat(index.cachedBlocks("b", sharing)).isZero();
  }

  @Test
  void indexIsBoundedAndEvictsTheTailOfThePromptFirst() {
    PrefixCacheIndex index = new PrefixCacheIndex(6);
    index.dispatched("a", longPrompt);
    assertThat(index.size("a")).isEqualTo(6);
    assertThat(index.cachedBlocks("a", longPrompt)).isEqualTo(6);
  }

  @Test
  void removedEventShortensThePrefixAndOldEventChangesNothing() {
    PrefixCacheIndex index = new PrefixCacheIndex(100);
    index.dispatched("a", longPrompt);
    index.event("a", new CacheEvent(7, CacheEvent.Kind.REMOVED, longPrompt.hash(5)));
    index.event("a", new CacheEvent(6, CacheEvent.Kind.REMOVED, longPrompt.hash(0)));
    assertThat(index.cachedBlocks("a", longPrompt)).isEqualTo(5);
  }

  @Test
  void lostEventsEvictAsManyLeastRecentlyUsedBlocks() {
    PrefixCacheIndex index = new PrefixCacheIndex(100);
    index.dispatched("a", longPrompt);
    index.event("a", new CacheEvent(1, CacheEvent.Kind.STORED, longPrompt.hash(0)));
    index.event("a", new CacheEvent(5, CacheEvent.Kind.STORED, longPrompt.hash(0)));
    assertThat(index.cachedBlocks("a", longPrompt)).isEqualTo(7);
  }
}
