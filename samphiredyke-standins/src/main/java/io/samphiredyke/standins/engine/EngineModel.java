package io.samphiredyke.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A model engine without its HTTP interface, driven by the caller's clock.
 *
 * <p>The engine works in steps. A step prefills up to {@link EngineOptions#prefillChunk} tokens of
 * the admitted sequences, in order of arrival, and makes one token for each sequence whose prompt
 * was prefilled before the step. It lasts as long as both parts together. Between steps waiting
 * requests are admitted in order of arrival while the batch has room. It knows no priorities and
 * does not recognise a request id that it has seen: each submission is executed.
 *
 * <p>Not thread-safe. All times are nanoseconds of one monotonic clock and must not decrease.
 */
public final class EngineModel {

  /** What {@link #nextStepAt} returns while nothing runs. */
  public static final long IDLE = Long.MAX_VALUE;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int KEPT_REPORTS = 64;
  private static final int REPORTS_PER_LAG = 4;
  private static final int KEPT_IDS = 500_000;

  private final EngineOptions options;
  private final PrefixCache cache;
  private final ArrayDeque<Sequence> waiting = new ArrayDeque<>();
  private final List<Sequence> batch = new ArrayList<>();
  private final Map<Long, Sequence> active = new LinkedHashMap<>();
  private final Map<String, RequestCounts> counts = new LinkedHashMap<>();
  private final ArrayDeque<LoadReport> reports = new ArrayDeque<>();
  private RequestCounts total = RequestCounts.ZERO;
  private double slowFactor = 1;
  private long lastExecution;
  private @Nullable Step step;

  /** Creates an idle engine with an empty cache. */
  public EngineModel(EngineOptions options) {
    this.options = options;
    this.cache = new PrefixCache(options.cacheBlocks());
  }

  /** One request on its way through the engine. */
  private static final class Sequence {
    final long execution;
    final EngineRequest request;
    int toPrefill;
    int prefilled;
    int decoded;

    Sequence(long execution, EngineRequest request) {
      this.execution = execution;
      this.request = request;
    }

    boolean decoding() {
      return toPrefill == 0;
    }
  }

  /** What the running step does; applied when it ends. */
  private record Step(long end, Map<Sequence, Integer> prefill, List<Sequence> decode) {}

  /**
   * Accepts a request for execution.
   *
   * @return the number of this execution, from 1
   */
  public long submit(EngineRequest request, long now) {
    lastExecution++;
    Sequence sequence = new Sequence(lastExecution, request);
    waiting.addLast(sequence);
    active.put(lastExecution, sequence);
    count(request.id(), RequestCounts.EXECUTION);
    if (step == null) {
      startStep(now);
    }
    sample(now);
    return lastExecution;
  }

  /**
   * Ends an execution before its answer is whole; its prefilled tokens count as wasted.
   *
   * @return whether it was waiting or running
   */
  public boolean cancel(long execution, long now) {
    Sequence sequence = active.remove(execution);
    if (sequence == null) {
      return false;
    }
    waiting.remove(sequence);
    batch.remove(sequence);
    count(sequence.request.id(), RequestCounts.cancel(sequence.prefilled));
    sample(now);
    return true;
  }

  /** Ends all executions, as a crash does, and empties the cache. Counts are kept. */
  public void cancelAll(long now) {
    for (long execution : List.copyOf(active.keySet())) {
      cancel(execution, now);
    }
    step = null;
    cache.clear(now);
  }

  /** Counts the prefilled tokens of a finished answer that no one read to its end as wasted. */
  public void discardAnswer(String id, long prefilledTokens) {
    count(id, RequestCounts.wasted(prefilledTokens));
  }

  /**
   * Runs all steps that end by a time.
   *
   * @return the tokens made, in order of time
   */
  public List<EmittedToken> tick(long now) {
    List<EmittedToken> emitted = new ArrayList<>();
    while (step != null && step.end() <= now) {
      Step ended = step;
      step = null;
      sample(ended.end());
      applyPrefill(ended);
      applyDecode(ended, emitted);
      startStep(ended.end());
    }
    sample(now);
    return emitted;
  }

  /** Returns when the running step ends, {@link #IDLE} if none runs. */
  public long nextStepAt() {
    return step == null ? IDLE : step.end();
  }

  /** Makes steps that start from now on last so many times as long. */
  public void slowFactor(double slowFactor) {
    this.slowFactor = slowFactor;
  }

  /** Returns the newest load report that is older than the report's lag. */
  public LoadReport laggingLoad(long now) {
    sample(now);
    long until = now - options.loadLag().toNanos();
    Iterator<LoadReport> newestFirst = reports.descendingIterator();
    while (newestFirst.hasNext()) {
      LoadReport report = newestFirst.next();
      if (report.time() <= until) {
        return report;
      }
    }
    return new LoadReport(until, 0, 0, 0, 0);
  }

  /** Returns the load at this moment. */
  public LoadReport currentLoad(long now) {
    long toPrefill = 0;
    for (Sequence sequence : batch) {
      toPrefill += sequence.toPrefill;
    }
    for (Sequence sequence : waiting) {
      toPrefill += sequence.request.prompt().tokens();
    }
    return new LoadReport(now, batch.size(), waiting.size(), toPrefill, cache.size());
  }

  /** Returns the cache events after a sequence number that happened no later than a time. */
  public List<CacheEvent> cacheEvents(long after, long until) {
    return cache.eventsAfter(after, until);
  }

  /** Returns the cached chain of blocks that ends at a block; empty if any of it is missing. */
  public List<Long> exportBlocks(long last) {
    return cache.chain(last);
  }

  /** Adds a chain of blocks to the cache. */
  public void importBlocks(List<Long> blocks, long now) {
    cache.store(blocks, now);
  }

  /** Returns the counts of all requests together. */
  public RequestCounts totalCounts() {
    return total;
  }

  /** Returns the counts by request id; the oldest ids are dropped after half a million. */
  public Map<String, RequestCounts> countsById() {
    return Collections.unmodifiableMap(counts);
  }

  private void startStep(long now) {
    admit();
    if (batch.isEmpty()) {
      return;
    }
    Map<Sequence, Integer> prefill = new LinkedHashMap<>();
    List<Sequence> decode = new ArrayList<>();
    int room = options.prefillChunk();
    for (Sequence sequence : batch) {
      if (sequence.decoding()) {
        decode.add(sequence);
      } else if (room > 0) {
        int tokens = Math.min(room, sequence.toPrefill);
        prefill.put(sequence, tokens);
        room -= tokens;
      }
    }
    step = new Step(now + duration(options.prefillChunk() - room, decode.size()), prefill, decode);
  }

  private void admit() {
    while (batch.size() < options.batchLimit() && !waiting.isEmpty()) {
      Sequence sequence = waiting.removeFirst();
      Prompt prompt = sequence.request.prompt();
      int matched = cache.match(prompt.blocks()) * options.blockTokens();
      int cached = Math.min(matched, prompt.tokens() - 1);
      sequence.toPrefill = prompt.tokens() - cached;
      count(sequence.request.id(), RequestCounts.cached(cached));
      batch.add(sequence);
    }
  }

  private long duration(int prefillTokens, int decoding) {
    double seconds = prefillTokens / options.prefillRate();
    if (decoding > 0) {
      seconds += (1 + options.batchSlowdown() * (decoding - 1)) / options.decodeRate();
    }
    return Math.max(1, Math.round(seconds * slowFactor * NANOS_PER_SECOND));
  }

  private void applyPrefill(Step ended) {
    for (Map.Entry<Sequence, Integer> part : ended.prefill().entrySet()) {
      Sequence sequence = part.getKey();
      int tokens = part.getValue();
      count(sequence.request.id(), RequestCounts.prefilled(tokens));
      if (!active.containsKey(sequence.execution)) {
        count(sequence.request.id(), RequestCounts.wasted(tokens));
        continue;
      }
      sequence.toPrefill -= tokens;
      sequence.prefilled += tokens;
      if (sequence.decoding()) {
        cache.store(sequence.request.prompt().blocks(), ended.end());
      }
    }
  }

  private void applyDecode(Step ended, List<EmittedToken> emitted) {
    for (Sequence sequence : ended.decode()) {
      if (!active.containsKey(sequence.execution)) {
        continue;
      }
      sequence.decoded++;
      boolean last = sequence.decoded == sequence.request.answerTokens();
      String id = sequence.request.id();
      count(id, RequestCounts.decoded(1));
      emitted.add(
          new EmittedToken(
              sequence.execution, id, sequence.decoded, last, sequence.prefilled, ended.end()));
      if (last) {
        active.remove(sequence.execution);
        batch.remove(sequence);
        count(id, RequestCounts.FINISH);
      }
    }
  }

  private void count(String id, RequestCounts change) {
    total = total.plus(change);
    counts.merge(id, change, RequestCounts::plus);
    if (counts.size() > KEPT_IDS) {
      counts.remove(counts.keySet().iterator().next());
    }
  }

  private void sample(long now) {
    LoadReport newest = reports.peekLast();
    long interval = options.loadLag().toNanos() / REPORTS_PER_LAG;
    if (newest != null && now - newest.time() < interval) {
      return;
    }
    reports.addLast(currentLoad(now));
    if (reports.size() > KEPT_REPORTS) {
      reports.removeFirst();
    }
  }
}
