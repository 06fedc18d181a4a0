package io.samphiredyke.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EngineModelTest {

  private static final long MILLISECOND = 1_000_000;
  private static final EngineOptions OPTIONS =
      EngineOptions.builder()
          .batchLimit(2)
          .prefillRate(1_000)
          .decodeRate(100)
          .batchSlowdown(0.5)
          .prefillChunk(100)
          .blockTokens(10)
          .cacheBlocks(20)
          .loadLag(Duration.ofMillis(50))
          .build();

  private final EngineModel model = new EngineModel(OPTIONS);

  @Test
  void prefillsInChunksThenDecodesAtDecodeRate() {
    model.submit(request("a", 0, 150, 2), 0);
    List<EmittedToken> tokens = model.runUntil(1_000 * MILLISECOND);
    assertThat(tokens)
        .containsExactly(
            new EmittedToken(1, "a", 1, false, 150, 160 * MILLISECOND),
            new EmittedToken(1, "a", 2, true, 150, 170 * MILLISECOND));
    assertThat(model.nextStepAt()).isEqualTo(EngineModel.IDLE);
    assertThat(model.totalCounts()).isEqualTo(new RequestCounts(1, 1, 0, 150, 0, 0, 2));
  }

  @Test
  void decodeStepLengthensWithBatchSize() {
    model.submit(request("a", 0, 1, 3), 0);
    model.submit(request("b", 100, 1, 3), 0);
    List<Long> times = new ArrayList<>();
    for (EmittedToken token : model.runUntil(1_000 * MILLISECOND)) {
      if (token.id().equals("b")) {
        times.add(token.time());
      }
    }
    assertThat(times.get(1) - times.get(0)).isEqualTo(15 * MILLISECOND);
  }

  @Test
  void admitsRequestsInOrderOfArrivalUpToBatchLimit() {
    for (String id : List.of("a", "b", "c")) {
      model.submit(request(id, id.hashCode() * 100L, 10, 1), 0);
    }
    assertThat(model.currentLoad(0).waiting()).isEqualTo(2);
    List<String> order =
        model.runUntil(1_000 * MILLISECOND).stream().map(EmittedToken::id).toList();
    assertThat(order).containsExactly("a", "b", "c");
  }

  @Test
  void doesNotPrefillCachedPrefix() {
    model.submit(request("a", 0, 100, 1), 0);
    model.runUntil(1_000 * MILLISECOND);
    model.submit(request("b", 0, 100, 1), 1_000 * MILLISECOND);
    model.runUntil(2_000 * MILLISECOND);
    assertThat(model.countsById().get("b").prefilledTokens()).isEqualTo(1);
    assertThat(model.countsById().get("b").cachedTokens()).isEqualTo(99);
  }

  @Test
  void evictsLeastRecentlyUsedChainFromItsEnd() {
    model.submit(request("a", 0, 150, 1), 0);
    model.submit(request("b", 1_000, 150, 1), 0);
    model.runUntil(1_000 * MILLISECOND);
    assertThat(model.currentLoad(0).cachedBlocks()).isEqualTo(20);
    assertThat(model.exportBlocks(5)).containsExactly(1L, 2L, 3L, 4L, 5L);
    assertThat(model.exportBlocks(6)).isEmpty();
    assertThat(model.exportBlocks(1_015)).hasSize(15);
  }

  @Test
  void countsPrefillOfCancelledExecutionAsWasted() {
    long execution = model.submit(request("a", 0, 150, 10), 0);
    model.runUntil(120 * MILLISECOND);
    assertThat(model.cancel(execution, 120 * MILLISECOND)).isTrue();
    assertThat(model.cancel(execution, 120 * MILLISECOND)).isFalse();
    assertThat(model.runUntil(1_000 * MILLISECOND)).isEmpty();
    assertThat(model.totalCounts()).isEqualTo(new RequestCounts(1, 0, 1, 150, 0, 150, 0));
  }

  @Test
  void executesDuplicateIdTwice() {
    model.submit(request("a", 0, 10, 1), 0);
    model.submit(request("a", 0, 10, 1), 0);
    model.runUntil(1_000 * MILLISECOND);
    assertThat(model.countsById().get("a").executions()).isEqualTo(2);
    assertThat(model.countsById().get("a").finished()).isEqualTo(2);
  }

  @Test
  void delaysLoadReport() {
    model.submit(request("a", 0, 100, 100), 0);
    assertThat(model.delayedLoad(20 * MILLISECOND).running()).isZero();
    assertThat(model.delayedLoad(60 * MILLISECOND).running()).isEqualTo(1);
  }

  @Test
  void slowFactorLengthensLaterSteps() {
    model.slowFactor(3);
    model.submit(request("a", 0, 100, 1), 0);
    assertThat(model.nextStepAt()).isEqualTo(300 * MILLISECOND);
  }

  private static EngineRequest request(String id, long firstBlock, int tokens, int answerTokens) {
    List<Long> blocks = new ArrayList<>();
    for (long i = 1; i <= tokens / 10; i++) {
      blocks.add(firstBlock + i);
    }
    return new EngineRequest(id, new Prompt(tokens, blocks, "digest"), answerTokens);
  }
}
