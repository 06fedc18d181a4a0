package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.EndpointRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** What runs at one endpoint, how fast it is, and whether it may get more. */
final class EndpointLoad {

  /** A request that holds a place. */
  static final class Running {
    final SlotRequest claim;
    final long grantedAt;
    final double prefillMillis;
    final double firstEventMillis;
    final double totalMillis;
    boolean started;

    Running(SlotRequest claim, long grantedAt, double prefill, double firstEvent, double total) {
      this.claim = claim;
      this.grantedAt = grantedAt;
      this.prefillMillis = prefill;
      this.firstEventMillis = firstEvent;
      this.totalMillis = total;
    }
  }

  private static final double NANOS_PER_MILLI = 1e6;

  /** Weight of a new observation of an endpoint's speed; about the last five requests count. */
  private static final double LEARNING_RATE = 0.2;

  /** Bounds of one observation, so that a single stalled request does not condemn an endpoint. */
  private static final double MIN_SLOWNESS = 0.2;

  private static final double MAX_SLOWNESS = 8;

  /** Weight of a new outcome in the share of errors; about the last ten requests count. */
  private static final double ERROR_LEARNING_RATE = 0.1;

  /** How far the share of errors counts; below 1, so that an endpoint is always tried again. */
  private static final double ERROR_WEIGHT = 0.9;

  /** Failures in a row after which an endpoint is tried with single requests only. */
  private static final int FAILURES_TO_SUSPECT = 2;

  /** First and longest pause of a suspected endpoint, milliseconds; doubled at each failure. */
  private static final long MIN_PAUSE_MILLIS = 250;

  private static final long MAX_PAUSE_MILLIS = 2_000;

  private EndpointRecord endpoint;
  private final double shareOffset;
  private final boolean isEngine;
  private final PrefixCacheEstimate cache;
  private final Map<Long, Running> running = new HashMap<>();
  private double slowness = 1;
  private double errorShare;
  private int failures;
  private long pausedUntil = Long.MIN_VALUE;
  private int grantLimit = Integer.MAX_VALUE;

  /**
   * Creates an idle endpoint.
   *
   * @param shareOffset number from 0 to 1, drawn by each host for itself, that rounds a part of the
   *     places up or down
   */
  EndpointLoad(EndpointRecord endpoint, boolean isEngine, long cacheTokens, double shareOffset) {
    this.endpoint = endpoint;
    this.shareOffset = shareOffset;
    this.isEngine = isEngine;
    this.cache = new PrefixCacheEstimate(cacheTokens);
  }

  void update(EndpointRecord newer) {
    endpoint = newer;
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
   * @param ignorePause whether a pause after failures is ignored
   * @param share part of the places that may be given away
   */
  int freePlaces(long now, boolean ignorePause, double share) {
    int slots = slots(share);
    if (ignorePause) {
      return Math.max(0, slots - running.size());
    }
    if (isPaused(now)) {
      return 0;
    }
    int limit = failures >= FAILURES_TO_SUSPECT ? 1 : Math.min(slots, grantLimit);
    return Math.max(0, Math.min(slots, limit) - running.size());
  }

  /** Returns the places that may be given away in all; over all hosts they sum up to the slots. */
  int slots(double share) {
    return share >= 1 ? endpoint.slots() : (int) (endpoint.slots() * share + shareOffset);
  }

  double shareOffset() {
    return shareOffset;
  }

  /** Returns whether it gets nothing for a while after failures in a row. */
  boolean isPaused(long now) {
    return now < pausedUntil;
  }

  /** Expected time to the first event or the answer if the claim were granted now. */
  double firstEventMillis(SlotRequest claim) {
    if (!claim.estimate().isGeneration()) {
      return plainMillis() * (1 + (double) running.size() / (4 * endpoint.slots()));
    }
    double waiting = 0;
    for (Running other : running.values()) {
      waiting += other.started ? 0 : other.prefillMillis;
    }
    return slowness * (LatencyModel.firstEventMillis() + waiting + prefillMillis(claim.estimate()));
  }

  /** Expected time of a claim here, with the work that errors of this endpoint cause elsewhere. */
  double placementMillis(SlotRequest claim) {
    return totalMillis(claim) / (1 - errorShare * ERROR_WEIGHT);
  }

  double totalMillis(SlotRequest claim) {
    if (!claim.estimate().isGeneration()) {
      return plainMillis();
    }
    double decode = LatencyModel.decodeMillis(claim.estimate().outputTokens(), running.size() + 1);
    return firstEventMillis(claim) + slowness * decode;
  }

  private double plainMillis() {
    return slowness * LatencyModel.PLAIN_MILLIS;
  }

  private double prefillMillis(WorkEstimate work) {
    int uncached = Math.max(1, work.promptTokens() - cache.cachedTokens(work.parts()));
    return LatencyModel.prefillMillis(uncached, work.promptTokens());
  }

  void grant(SlotRequest claim, long now) {
    double prefill = claim.estimate().isGeneration() ? prefillMillis(claim.estimate()) : 0;
    Running entry = new Running(claim, now, prefill, firstEventMillis(claim), totalMillis(claim));
    running.put(claim.id(), entry);
    if (isEngine) {
      cache.add(claim.estimate().parts());
    }
  }

  /** Counts a request that another scheduler placed here, as far as it is known. */
  void adopt(SlotRequest claim, long now) {
    Running entry = new Running(claim, now, 0, 0, totalMillis(claim));
    entry.started = true;
    running.putIfAbsent(claim.id(), entry);
  }

  /** Notes the first event of a stream. */
  void started(long claimId, double observedMillis) {
    Running entry = running.get(claimId);
    if (entry == null || entry.started) {
      return;
    }
    entry.started = true;
    learn(observedMillis, entry.firstEventMillis);
  }

  /** Frees the place of a claim. */
  @Nullable Running release(long claimId, Outcome outcome, double observedMillis, long now) {
    Running entry = running.remove(claimId);
    if (outcome != Outcome.WITHDRAWN) {
      double error = outcome == Outcome.SERVED ? 0 : 1;
      errorShare += ERROR_LEARNING_RATE * (error - errorShare);
    }
    switch (outcome) {
      case ERRORED -> failures = 0;
      case SERVED -> {
        failures = 0;
        grantLimit = Integer.MAX_VALUE;
        if (entry != null && !entry.claim.estimate().isGeneration()) {
          learn(observedMillis, entry.firstEventMillis);
        }
      }
      case FAILED -> fail(now);
      case FULL -> grantLimit = Math.max(1, running.size());
      default -> {}
    }
    return entry;
  }

  private void fail(long now) {
    failures++;
    if (failures >= FAILURES_TO_SUSPECT) {
      int doublings = Math.min(failures - FAILURES_TO_SUSPECT, 4);
      long pause = Math.min(MAX_PAUSE_MILLIS, MIN_PAUSE_MILLIS << doublings);
      pausedUntil = now + (long) (pause * NANOS_PER_MILLI);
    }
  }

  private void learn(double observed, double expected) {
    double sample = observed * slowness / Math.max(1, expected);
    double bounded = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, sample));
    slowness += LEARNING_RATE * (bounded - slowness);
  }

  /** Adds the times at which places become free, nanoseconds. */
  void addFreeTimes(long now, boolean ignorePause, double share, List<Long> times) {
    for (Running entry : running.values()) {
      long end = entry.grantedAt + (long) (entry.totalMillis * NANOS_PER_MILLI);
      times.add(Math.max(now, end));
    }
    for (int i = 0; i < freePlaces(now, ignorePause, share); i++) {
      times.add(now);
    }
  }

  /** Returns the claims of an owner that are not among those it still holds. */
  List<Long> forgotten(String owner, Set<Long> held, long grantedBefore) {
    List<Long> forgotten = new ArrayList<>();
    for (Running entry : running.values()) {
      boolean isOwners = entry.claim.requester().equals(owner);
      if (isOwners && entry.grantedAt < grantedBefore && !held.contains(entry.claim.id())) {
        forgotten.add(entry.claim.id());
      }
    }
    return forgotten;
  }

  boolean holds(long claimId) {
    return running.containsKey(claimId);
  }
}
