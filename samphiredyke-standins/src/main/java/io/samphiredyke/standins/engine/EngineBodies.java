package io.samphiredyke.standins.engine;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** JSON bodies of the engine's load, state, cache and control APIs. */
final class EngineBodies {

  private EngineBodies() {}

  record Counts(
      String name,
      String dataCentre,
      RequestCounts total,
      long executionsWhileLeaving,
      long latestExecutionAfterLeavingMillis,
      List<OrderProcessor.Handled> orders,
      @Nullable Map<String, RequestCounts> requests) {}

  record State(
      String name,
      String dataCentre,
      String role,
      boolean checksFence,
      long highestFence,
      boolean leaving,
      List<LoadedModel> models) {}

  record Load(
      long time,
      int running,
      int waiting,
      long waitingPrefillTokens,
      int cachedBlocks,
      int cacheBlocks,
      int batchLimit) {}

  record Event(long sequence, long time, String kind, String block, @Nullable String parent) {}

  record Events(List<Event> events, long next) {}

  record KvBlocks(int blockTokens, long bytes, @Nullable List<String> blocks) {}

  record Imported(int blocks) {}
}
