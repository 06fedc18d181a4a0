package io.samphiredyke.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrefixMapTest {

  private static final int BLOCK = PromptFingerprint.BLOCK_CHARS;

  private final PromptFingerprint longPrompt = PromptFingerprint.of("x".repeat(10 * BLOCK));
  private final PromptFingerprint sharing =
      PromptFingerprint.of("x".repeat(4 * BLOCK) + "y".repeat(BLOCK));

  @Test
  void dispatchedPromptIsHeldByThatEndpointOnly() {
    PrefixCacheIndex map = new PrefixCacheIndex(100);
    map.dispatched("a", longPrompt);
    assertThat(map.cachedBlocks("a", sharing)).isEqualTo(4);
    assertThat(map.cachedBlocks("b", sharing)).isZero();
  }

  @Test
  void mapIsBoundedAndDropsTheTailOfThePromptFirst() {
    PrefixCacheIndex map = new PrefixCacheIndex(6);
    map.dispatched("a", longPrompt);
    assertThat(map.size("a")).isEqualTo(6);
    assertThat(map.cachedBlocks("a", longPrompt)).isEqualTo(6);
  }

  @Test
  void removedEventShortensThePrefixAndOldEventChangesNothing() {
    PrefixCacheIndex map = new PrefixCacheIndex(100);
    map.dispatched("a", longPrompt);
    map.event("a", new CacheEvent(7, CacheEvent.Kind.REMOVED, longPrompt.hash(5)));
    map.event("a", new CacheEvent(6, CacheEvent.Kind.REMOVED, longPrompt.hash(0)));
    assertThat(map.cachedBlocks("a", longPrompt)).isEqualTo(5);
  }

  @Test
  void lostEventsDropAsManyOfTheLeastRecentlyUsedBlocks() {
    PrefixCacheIndex map = new PrefixCacheIndex(100);
    map.dispatched("a", longPrompt);
    map.event("a", new CacheEvent(1, CacheEvent.Kind.STORED, longPrompt.hash(0)));
    map.event("a", new CacheEvent(5, CacheEvent.Kind.STORED, longPrompt.hash(0)));
    assertThat(map.cachedBlocks("a", longPrompt)).isEqualTo(7);
  }
}
