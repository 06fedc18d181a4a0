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
 * Simulates the batching of a model engine, driven by the caller's clock.
 *
 * <p>The engine runs in steps. A step prefills up to {@link EngineOptions#prefillChunk} tokens of
 * the admitted sequences, in order of arrival, and generates one token for each sequence whose
 * prompt was prefilled before the step. Its duration is the sum of both parts. Between steps,
 * waiting requests are admitted in order of arrival while the batch isn't full. Requests have no
 * priorities, and request ids aren't deduplicated: each submission is executed.
 *
 * <p>Not thread-safe. All times are nanoseconds of one monotonic clock and must not decrease.
 */
public final class EngineModel {

  /** The value of {@link #nextStepAt} while no step runs. */
  public static final long IDLE = Long.MAX_VALUE;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int MAX_LOAD_REPORTS = 64;

  /** Number of load samples taken within the delay of load reports. */
  private static final int SAMPLES_PER_LAG = 4;

  /** Maximum number of request ids for which counts are kept; bounds memory. */
  private static final int MAX_COUNTED_IDS = 500_000;

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

  /** One submitted request and its progress. */
  private static final class Sequence {
    final long execution;
    final EngineRequest request;
    int remainingPrefill;
    int prefilledTokens;
    int decodedTokens;

    Sequence(long execution, EngineRequest request) {
      this.execution = execution;
      this.request = request;
    }

    boolean isDecoding() {
      return remainingPrefill == 0;
    }
  }

  /** The work of the running step; its effects are applied when it ends. */
  private record Step(long end, Map<Sequence, Integer> prefill, List<Sequence> decode) {}

  /**
   * Accepts a request for execution.
   *
   * @return the execution number, from 1
   */
  public long submit(EngineRequest request, long now) {
    lastExecution++;
    Sequence sequence = new Sequence(lastExecution, request);
    waiting.addLast(sequence);
    active.put(lastExecution, sequence);
    addCounts(request.id(), RequestCounts.EXECUTION);
    if (step == null) {
      startStep(now);
    }
    sampleLoad(now);
    return lastExecution;
  }

  /**
   * Cancels an unfinished execution; its prefilled tokens count as wasted.
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
    addCounts(sequence.request.id(), RequestCounts.cancel(sequence.prefilledTokens));
    sampleLoad(now);
    return true;
  }

  /** Cancels all executions and clears the cache, as in a crash. Counts are kept. */
  public void cancelAll(long now) {
    for (long execution : List.copyOf(active.keySet())) {
      cancel(execution, now);
    }
    step = null;
    cache.clear(now);
  }

  /** Counts the prefilled tokens of a finished but never fully read completion as wasted. */
  public void recordDiscardedCompletion(String id, long prefilledTokens) {
    addCounts(id, RequestCounts.wasted(prefilledTokens));
  }

  /**
   * Runs all steps that end no later than a time.
   *
   * @return the generated tokens, in order of time
   */
  public List<EmittedToken> runUntil(long now) {
    List<EmittedToken> emitted = new ArrayList<>();
    while (step != null && step.end() <= now) {
      Step ended = step;
      step = null;
      sampleLoad(ended.end());
      applyPrefill(ended);
      applyDecode(ended, emitted);
      startStep(ended.end());
    }
    sampleLoad(now);
    return emitted;
  }

  /** Returns the end of the running step, {@link #IDLE} if none runs. */
  public long nextStepAt() {
    return step == null ? IDLE : step.end();
  }

  /** Sets the factor by which the duration of later steps is multiplied. */
  public void slowFactor(double slowFactor) {
    this.slowFactor = slowFactor;
  }

  /** Returns the latest load report that is at least as old as the lag; zero load if none is. */
  public LoadReport delayedLoad(long now) {
    sampleLoad(now);
    long until = now - options.loadLag().toNanos();
    Iterator<LoadReport> latestFirst = reports.descendingIterator();
    while (latestFirst.hasNext()) {
      LoadReport report = latestFirst.next();
      if (report.time() <= until) {
        return report;
      }
    }
    return new LoadReport(until, 0, 0, 0, 0);
  }

  /** Returns the current load. */
  public LoadReport currentLoad(long now) {
    long remainingPrefill = 0;
    for (Sequence sequence : batch) {
      remainingPrefill += sequence.remainingPrefill;
    }
    for (Sequence sequence : waiting) {
      remainingPrefill += sequence.request.prompt().tokens();
    }
    return new LoadReport(now, batch.size(), waiting.size(), remainingPrefill, cache.size());
  }

  /** Returns the cache events after a sequence number, up to a time. */
  public List<CacheEvent> cacheEvents(long after, long until) {
    return cache.eventsAfter(after, until);
  }

  /** Returns the cached block chain that ends at a block; empty if a part of it is missing. */
  public List<Long> exportBlocks(long last) {
    return cache.chain(last);
  }

  /** Adds a block chain to the cache. */
  public void importBlocks(List<Long> blocks, long now) {
    cache.store(blocks, now);
  }

  /** Returns the total counts of all requests. */
  public RequestCounts totalCounts() {
    return total;
  }

  /** Returns the counts by request id, of at most half a million ids; the oldest are dropped. */
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
    int remaining = options.prefillChunk();
    for (Sequence sequence : batch) {
      if (sequence.isDecoding()) {
        decode.add(sequence);
      } else if (remaining > 0) {
        int tokens = Math.min(remaining, sequence.remainingPrefill);
        prefill.put(sequence, tokens);
        remaining -= tokens;
      }
    }
    step =
        new Step(
            now + stepNanos(options.prefillChunk() - remaining, decode.size()), prefill, decode);
  }

  private void admit() {
    while (batch.size() < options.batchLimit() && !waiting.isEmpty()) {
      Sequence sequence = waiting.removeFirst();
      Prompt prompt = sequence.request.prompt();
      int matched = cache.match(prompt.blocks()) * options.blockTokens();
      int cached = Math.min(matched, prompt.tokens() - 1);
      sequence.remainingPrefill = prompt.tokens() - cached;
      addCounts(sequence.request.id(), RequestCounts.cached(cached));
      batch.add(sequence);
    }
  }

  private long stepNanos(int prefillTokens, int decoding) {
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
      addCounts(sequence.request.id(), RequestCounts.prefilled(tokens));
      if (!active.containsKey(sequence.execution)) {
        addCounts(sequence.request.id(), RequestCounts.wasted(tokens));
        continue;
      }
      sequence.remainingPrefill -= tokens;
      sequence.prefilledTokens += tokens;
      if (sequence.isDecoding()) {
        cache.store(sequence.request.prompt().blocks(), ended.end());
      }
    }
  }

  private void applyDecode(Step ended, List<EmittedToken> emitted) {
    for (Sequence sequence : ended.decode()) {
      if (!active.containsKey(sequence.execution)) {
        continue;
      }
      sequence.decodedTokens++;
      boolean last = sequence.decodedTokens == sequence.request.answerTokens();
      String id = sequence.request.id();
      addCounts(id, RequestCounts.decoded(1));
      emitted.add(
          new EmittedToken(
              sequence.execution,
              id,
              sequence.decodedTokens,
              last,
              sequence.prefilledTokens,
              ended.end()));
      if (last) {
        active.remove(sequence.execution);
        batch.remove(sequence);
        addCounts(id, RequestCounts.FINISH);
      }
    }
  }

  private void addCounts(String id, RequestCounts change) {
    total = total.plus(change);
    counts.merge(id, change, RequestCounts::plus);
    if (counts.size() > MAX_COUNTED_IDS) {
      counts.remove(counts.keySet().iterator().next());
    }
  }

  private void sampleLoad(long now) {
    LoadReport latest = reports.peekLast();
    long interval = options.loadLag().toNanos() / SAMPLES_PER_LAG;
    if (latest != null && now - latest.time() < interval) {
      return;
    }
    reports.addLast(currentLoad(now));
    if (reports.size() > MAX_LOAD_REPORTS) {
      reports.removeFirst();
    }
  }
}
