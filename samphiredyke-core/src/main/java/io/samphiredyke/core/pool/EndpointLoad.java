package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.EndpointRecord;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Load of one endpoint: its running requests, learned latency, error rate and free slots. */
final class EndpointLoad {

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

  private EndpointRecord endpoint;
  private long warmUntil;
  private final double roundingOffset;
  private final boolean isEngine;
  private final PrefixCacheEstimate cache;
  private final ServiceLatency average;
  private final Map<Long, RunningRequest> running = new HashMap<>();
  private int isolatedCount;
  private double pendingPrefillMillis;
  private double latencyFactor = 1;
  private double errorRate;
  private final EndpointFailures failures = new EndpointFailures();
  private int probes;
  private final EndpointRoom room = new EndpointRoom();
  private final RateLimit rateLimit = new RateLimit();

  /**
   * Creates the load of an idle endpoint.
   *
   * @param average latency of the endpoint's service, which the endpoint is compared with
   * @param roundingOffset random number from 0 to 1, drawn independently by each host, that decides
   *     whether a fractional number of usable slots is rounded up or down
   */
  EndpointLoad(
      EndpointRecord endpoint,
      boolean isEngine,
      long cacheTokens,
      ServiceLatency average,
      double roundingOffset,
      long now) {
    this.endpoint = endpoint;
    this.warmUntil = now + warmUpNanos(endpoint);
    this.roundingOffset = roundingOffset;
    this.isEngine = isEngine;
    this.average = average;
    this.cache = new PrefixCacheEstimate(cacheTokens);
  }

  private static long warmUpNanos(EndpointRecord endpoint) {
    return (long) (endpoint.warmUpRemainingMillis() * NANOS_PER_MILLI);
  }

  /** Returns whether it was still slow after its start at a time. */
  boolean isWarmingUp(long at) {
    return at - warmUntil < 0;
  }

  void update(EndpointRecord updated, long now) {
    warmUntil = now + warmUpNanos(updated);
    if (updated.startedAtMillis() != endpoint.startedAtMillis()) {
      rateLimit.set(RateLimit.NONE, now);
    }
    endpoint = updated;
  }

  RateLimit rateLimit() {
    return rateLimit;
  }

  EndpointRoom room() {
    return room;
  }

  /** Sets the fraction of what the endpoint bears that this scheduler may use. */
  void setShare(double capacityShare) {
    rateLimit.setShare(capacityShare);
    room.setShare(capacityShare);
  }

  /** Returns from when on its rate limit and its brittleness permit the next grant. */
  long nextGrantAt() {
    return Math.max(rateLimit.nextGrantAt(), room.nextGrantAt());
  }

  EndpointRecord endpoint() {
    return endpoint;
  }

  /** Returns whether it runs a request that must run beside no other isolated one. */
  boolean runsIsolated() {
    return isolatedCount > 0;
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
  int freeSlots(boolean ignorePause, double capacityShare) {
    int slots = usableSlots(capacityShare);
    if (ignorePause) {
      return Math.max(0, slots - running.size());
    }
    int limit = failures.isFailingForAll() ? 1 : Math.min(slots, room.size());
    return Math.max(0, Math.min(slots, limit) - running.size());
  }

  /**
   * Returns how many slots this scheduler may grant in all; the sum over all hosts is about the
   * number of slots of the endpoint.
   */
  int usableSlots(double capacityShare) {
    int slots =
        capacityShare >= 1
            ? endpoint.slots()
            : (int) (endpoint.slots() * capacityShare + roundingOffset);
    return room.isBrittle() ? Math.min(slots, room.size()) : slots;
  }

  double roundingOffset() {
    return roundingOffset;
  }

  /** Returns until when it gets no requests because of consecutive failures. */
  long pausedUntil() {
    return failures.pausedUntil();
  }

  EndpointFailures failures() {
    return failures;
  }

  /** Returns whether it runs a request of a requester that may not reach it. */
  boolean runsProbe() {
    return probes > 0;
  }

  /** Returns the modelled time to the first event, or the response, if granted now. */
  private double modelledFirstEventMillis(WorkEstimate work, double prefillMillis) {
    if (!work.isGeneration()) {
      return LatencyModel.PLAIN_MILLIS * (1 + (double) running.size() / (4 * endpoint.slots()));
    }
    return LatencyModel.firstEventMillis() + pendingPrefillMillis + prefillMillis;
  }

  private double modelledDecodeMillis(WorkEstimate work) {
    return work.isGeneration()
        ? LatencyModel.decodeMillis(work.outputTokens(), running.size() + 1)
        : 0;
  }

  private double modelledPrefillMillis(WorkEstimate work) {
    if (!work.isGeneration()) {
      return 0;
    }
    int uncached = Math.max(1, work.promptTokens() - cache.cachedTokens(work.cacheParts()));
    return LatencyModel.prefillMillis(uncached, work.promptTokens());
  }

  private double firstEventScale(WorkEstimate work) {
    return work.isGeneration() ? average.firstEventScale() : average.plainScale();
  }

  /**
   * Returns the expected time of a request here, increased by the error rate for the extra work
   * that a failed attempt causes at other endpoints.
   */
  double expectedCostMillis(WorkEstimate work) {
    double firstEvent = modelledFirstEventMillis(work, modelledPrefillMillis(work));
    double total =
        firstEventScale(work) * firstEvent + average.decodeScale() * modelledDecodeMillis(work);
    return latencyFactor * total / (1 - errorRate * ERROR_WEIGHT);
  }

  /**
   * Grants a slot.
   *
   * @param isProbe whether it tests if the requester reaches this endpoint
   */
  RunningRequest grant(SlotRequest request, boolean isProbe, long now) {
    WorkEstimate work = request.estimate();
    double prefill = modelledPrefillMillis(work);
    double firstEvent = modelledFirstEventMillis(work, prefill);
    double decode = modelledDecodeMillis(work);
    double expectedFirstEvent = latencyFactor * firstEventScale(work) * firstEvent;
    double expectedDecode = latencyFactor * average.decodeScale() * decode;
    RunningRequest entry =
        new RunningRequest(
            request,
            now,
            prefill,
            firstEvent,
            decode,
            expectedFirstEvent,
            expectedFirstEvent + expectedDecode);
    entry.isProbe = isProbe;
    running.put(request.id(), entry);
    probes += isProbe ? 1 : 0;
    isolatedCount += request.isIsolated() ? 1 : 0;
    rateLimit.granted(now);
    room.granted(request.id(), now);
    pendingPrefillMillis += prefill;
    if (isEngine) {
      cache.add(work.cacheParts());
    }
    return entry;
  }

  /** Records a grant of another scheduler, as its requester reported it. */
  void restoreGrant(SlotRequest request, long now) {
    RunningRequest entry = new RunningRequest(request, now, 0, 0, 0, 0, 0);
    entry.startedAfterMillis = 0;
    if (running.putIfAbsent(request.id(), entry) == null) {
      isolatedCount += request.isIsolated() ? 1 : 0;
    }
  }

  /** Records the first event of a stream. */
  void firstEvent(long requestId, double observedMillis) {
    RunningRequest entry = running.get(requestId);
    if (entry == null || entry.hasStarted()) {
      return;
    }
    markStarted(entry, observedMillis);
    learnFirstEvent(observedMillis, entry);
    average.observeFirstEvent(observedMillis, entry.modelledFirstEventMillis);
  }

  private void markStarted(RunningRequest entry, double observedMillis) {
    entry.startedAfterMillis = Math.max(0, observedMillis);
    pendingPrefillMillis = Math.max(0, pendingPrefillMillis - entry.modelledPrefillMillis);
  }

  /**
   * Frees the slot of a request and learns from its outcome.
   *
   * @param path whether the requester reaches the endpoints of the service
   */
  void release(
      long requestId, Outcome outcome, RequesterPath path, double observedMillis, long now) {
    RunningRequest entry = running.remove(requestId);
    if (entry != null) {
      removed(entry);
    }
    room.accepted(requestId, now);
    if (outcome != Outcome.WITHDRAWN && path != RequesterPath.LOST) {
      double error = outcome == Outcome.SERVED ? 0 : 1;
      errorRate += ERROR_SMOOTHING * (error - errorRate);
    }
    String requester = entry == null ? "" : entry.request.requester();
    switch (outcome) {
      case ERRORED -> failures.served(requester, now);
      case SERVED -> {
        failures.served(requester, now);
        room.served(running.size() + 1, now);
        if (entry != null) {
          learnTotal(observedMillis, entry);
        }
      }
      case FAILED, BROKEN_OFF ->
          failures.failed(requester, path == RequesterPath.SOUND, runsForOthers(requester), now);
      case FULL -> room.refused(requestId, running.size(), now);
      default -> {}
    }
  }

  private boolean runsForOthers(String requester) {
    for (RunningRequest entry : running.values()) {
      if (!entry.request.requester().equals(requester)) {
        return true;
      }
    }
    return false;
  }

  private void removed(RunningRequest entry) {
    entry.isReleased = true;
    probes -= entry.isProbe ? 1 : 0;
    isolatedCount -= entry.request.isIsolated() ? 1 : 0;
    if (!entry.hasStarted()) {
      pendingPrefillMillis = Math.max(0, pendingPrefillMillis - entry.modelledPrefillMillis);
    }
    if (running.isEmpty()) {
      pendingPrefillMillis = 0;
    }
  }

  private void learnTotal(double observedMillis, RunningRequest entry) {
    if (!entry.request.estimate().isGeneration()) {
      learnFirstEvent(observedMillis, entry);
      average.observePlain(observedMillis, entry.modelledFirstEventMillis);
    } else if (entry.hasStarted() && entry.modelledDecodeMillis > 0) {
      average.observeDecode(observedMillis - entry.startedAfterMillis, entry.modelledDecodeMillis);
    }
  }

  private void learnFirstEvent(double observed, RunningRequest entry) {
    if (entry.modelledFirstEventMillis > 0) {
      double sample = bounded(observed / averageFirstEventMillis(entry));
      latencyFactor += LATENCY_SMOOTHING * (sample - latencyFactor);
    }
  }

  /**
   * Learns that a request has not started yet: the endpoint is at least as slow as the time that
   * has passed shows. An endpoint that has become slow gets fewer requests before the first of
   * those that it runs has ended.
   *
   * @return whether the request is still overdue
   */
  boolean learnOverdue(RunningRequest entry, double elapsedMillis) {
    if (entry.isReleased
        || entry.isProbe
        || entry.hasStarted()
        || entry.modelledFirstEventMillis <= 0) {
      return false;
    }
    double atLeast = bounded(elapsedMillis / averageFirstEventMillis(entry));
    if (atLeast > latencyFactor) {
      latencyFactor += LATENCY_SMOOTHING * (atLeast - latencyFactor);
    }
    return true;
  }

  private double averageFirstEventMillis(RunningRequest entry) {
    double scale = firstEventScale(entry.request.estimate());
    return Math.max(1, scale * entry.modelledFirstEventMillis);
  }

  private static double bounded(double factor) {
    return Math.max(MIN_LATENCY_FACTOR, Math.min(MAX_LATENCY_FACTOR, factor));
  }

  /** Marks all running requests as released, because the endpoint is gone, and returns them. */
  List<RunningRequest> releaseAll() {
    List<RunningRequest> released = List.copyOf(running.values());
    released.forEach(entry -> entry.isReleased = true);
    running.clear();
    isolatedCount = 0;
    probes = 0;
    return released;
  }

  @Nullable RunningRequest running(long requestId) {
    return running.get(requestId);
  }
}
