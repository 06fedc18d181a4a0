package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.EndpointRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Load of one endpoint: its running requests, learned latency, error rate and free slots. */
final class EndpointLoad {

  /** A request that holds a slot. */
  static final class RunningRequest {
    final SlotRequest request;
    final long grantedAt;
    final double prefillMillis;
    final double firstEventMillis;
    final double totalMillis;
    boolean hasStarted;

    RunningRequest(
        SlotRequest request, long grantedAt, double prefill, double firstEvent, double total) {
      this.request = request;
      this.grantedAt = grantedAt;
      this.prefillMillis = prefill;
      this.firstEventMillis = firstEvent;
      this.totalMillis = total;
    }
  }

  private static final double NANOS_PER_MILLI = 1e6;

  /** Weight of a new latency observation; averages over about the last five requests. */
  private static final double LATENCY_SMOOTHING = 0.2;

  /** Bounds of one observation, so that a single stalled request does not dominate the average. */
  private static final double MIN_LATENCY_FACTOR = 0.2;

  private static final double MAX_LATENCY_FACTOR = 8;

  /** Weight of a new outcome in the error rate; averages over about the last ten requests. */
  private static final double ERROR_SMOOTHING = 0.1;

  /**
   * Weight of the error rate in the expected cost; below 1, so that a failing endpoint is retried.
   */
  private static final double ERROR_WEIGHT = 0.9;

  /** Consecutive failures after which an endpoint is paused and then gets one request at a time. */
  private static final int FAILURES_TO_PAUSE = 2;

  /** First and longest pause after consecutive failures, milliseconds; doubles at each failure. */
  private static final long MIN_PAUSE_MILLIS = 250;

  private static final long MAX_PAUSE_MILLIS = 2_000;

  private EndpointRecord endpoint;
  private final double roundingOffset;
  private final boolean isEngine;
  private final PrefixCacheEstimate cache;
  private final Map<Long, RunningRequest> running = new HashMap<>();
  private double latencyFactor = 1;
  private double errorRate;
  private int failures;
  private long pausedUntil = Long.MIN_VALUE;
  private int grantLimit = Integer.MAX_VALUE;

  /**
   * Creates the load of an idle endpoint.
   *
   * @param roundingOffset random number from 0 to 1, drawn independently by each host, that decides
   *     whether a fractional number of usable slots is rounded up or down
   */
  EndpointLoad(EndpointRecord endpoint, boolean isEngine, long cacheTokens, double roundingOffset) {
    this.endpoint = endpoint;
    this.roundingOffset = roundingOffset;
    this.isEngine = isEngine;
    this.cache = new PrefixCacheEstimate(cacheTokens);
  }

  void update(EndpointRecord updated) {
    endpoint = updated;
  }

  EndpointRecord endpoint() {
    return endpoint;
  }

  int runningCount() {
    return running.size();
  }

  /**
   * Returns how many more requests it may get.
   *
   * @param ignorePause whether to ignore a pause after failures
   * @param capacityShare fraction of the slots that this scheduler may grant
   */
  int freeSlots(long now, boolean ignorePause, double capacityShare) {
    int slots = usableSlots(capacityShare);
    if (ignorePause) {
      return Math.max(0, slots - running.size());
    }
    if (isPaused(now)) {
      return 0;
    }
    int limit = failures >= FAILURES_TO_PAUSE ? 1 : Math.min(slots, grantLimit);
    return Math.max(0, Math.min(slots, limit) - running.size());
  }

  /**
   * Returns how many slots this scheduler may grant in all; the sum over all hosts is about the
   * number of slots of the endpoint.
   */
  int usableSlots(double capacityShare) {
    return capacityShare >= 1
        ? endpoint.slots()
        : (int) (endpoint.slots() * capacityShare + roundingOffset);
  }

  double roundingOffset() {
    return roundingOffset;
  }

  /** Returns whether it gets no requests for now because of consecutive failures. */
  boolean isPaused(long now) {
    return now < pausedUntil;
  }

  /** Returns the expected time to the first event, or the response, if granted now. */
  double firstEventMillis(SlotRequest request) {
    if (!request.estimate().isGeneration()) {
      return plainMillis() * (1 + (double) running.size() / (4 * endpoint.slots()));
    }
    double pendingPrefill = 0;
    for (RunningRequest other : running.values()) {
      pendingPrefill += other.hasStarted ? 0 : other.prefillMillis;
    }
    return latencyFactor
        * (LatencyModel.firstEventMillis() + pendingPrefill + prefillMillis(request.estimate()));
  }

  /**
   * Returns the expected time of a request here, increased by the error rate for the extra work
   * that a failed attempt causes at other endpoints.
   */
  double expectedCostMillis(SlotRequest request) {
    return totalMillis(request) / (1 - errorRate * ERROR_WEIGHT);
  }

  double totalMillis(SlotRequest request) {
    if (!request.estimate().isGeneration()) {
      return plainMillis();
    }
    double decode =
        LatencyModel.decodeMillis(request.estimate().outputTokens(), running.size() + 1);
    return firstEventMillis(request) + latencyFactor * decode;
  }

  private double plainMillis() {
    return latencyFactor * LatencyModel.PLAIN_MILLIS;
  }

  private double prefillMillis(WorkEstimate work) {
    int uncached = Math.max(1, work.promptTokens() - cache.cachedTokens(work.parts()));
    return LatencyModel.prefillMillis(uncached, work.promptTokens());
  }

  void grant(SlotRequest request, long now) {
    double prefill = request.estimate().isGeneration() ? prefillMillis(request.estimate()) : 0;
    RunningRequest entry =
        new RunningRequest(request, now, prefill, firstEventMillis(request), totalMillis(request));
    running.put(request.id(), entry);
    if (isEngine) {
      cache.add(request.estimate().parts());
    }
  }

  /** Records a grant of another scheduler, as its requester reported it. */
  void restoreGrant(SlotRequest request, long now) {
    RunningRequest entry = new RunningRequest(request, now, 0, 0, totalMillis(request));
    entry.hasStarted = true;
    running.putIfAbsent(request.id(), entry);
  }

  /** Records the first event of a stream. */
  void firstEvent(long requestId, double observedMillis) {
    RunningRequest entry = running.get(requestId);
    if (entry == null || entry.hasStarted) {
      return;
    }
    entry.hasStarted = true;
    updateLatencyFactor(observedMillis, entry.firstEventMillis);
  }

  /** Frees the slot of a request and learns from its outcome. */
  @Nullable RunningRequest release(
      long requestId, Outcome outcome, double observedMillis, long now) {
    RunningRequest entry = running.remove(requestId);
    if (outcome != Outcome.WITHDRAWN) {
      double error = outcome == Outcome.SERVED ? 0 : 1;
      errorRate += ERROR_SMOOTHING * (error - errorRate);
    }
    switch (outcome) {
      case ERRORED -> failures = 0;
      case SERVED -> {
        failures = 0;
        grantLimit = Integer.MAX_VALUE;
        if (entry != null && !entry.request.estimate().isGeneration()) {
          updateLatencyFactor(observedMillis, entry.firstEventMillis);
        }
      }
      case FAILED -> recordFailure(now);
      case FULL -> grantLimit = Math.max(1, running.size());
      default -> {}
    }
    return entry;
  }

  private void recordFailure(long now) {
    failures++;
    if (failures >= FAILURES_TO_PAUSE) {
      int doublings = Math.min(failures - FAILURES_TO_PAUSE, 4);
      long pause = Math.min(MAX_PAUSE_MILLIS, MIN_PAUSE_MILLIS << doublings);
      pausedUntil = now + (long) (pause * NANOS_PER_MILLI);
    }
  }

  private void updateLatencyFactor(double observed, double expected) {
    double sample = observed * latencyFactor / Math.max(1, expected);
    double bounded = Math.max(MIN_LATENCY_FACTOR, Math.min(MAX_LATENCY_FACTOR, sample));
    latencyFactor += LATENCY_SMOOTHING * (bounded - latencyFactor);
  }

  /** Adds the expected times at which slots become free, nanoseconds. */
  void addSlotFreeTimes(long now, boolean ignorePause, double capacityShare, List<Long> times) {
    for (RunningRequest entry : running.values()) {
      long end = entry.grantedAt + (long) (entry.totalMillis * NANOS_PER_MILLI);
      times.add(Math.max(now, end));
    }
    for (int i = 0; i < freeSlots(now, ignorePause, capacityShare); i++) {
      times.add(now);
    }
  }

  /** Returns the older grants of a requester that its report of held slots does not list. */
  List<Long> grantsMissingFromReport(String requester, Set<Long> reported, long grantedBefore) {
    List<Long> missing = new ArrayList<>();
    for (RunningRequest entry : running.values()) {
      boolean isRequesters = entry.request.requester().equals(requester);
      if (isRequesters
          && entry.grantedAt < grantedBefore
          && !reported.contains(entry.request.id())) {
        missing.add(entry.request.id());
      }
    }
    return missing;
  }

  boolean holds(long requestId) {
    return running.containsKey(requestId);
  }
}
