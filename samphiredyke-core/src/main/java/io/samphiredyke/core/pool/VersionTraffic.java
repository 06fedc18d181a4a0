package io.samphiredyke.core.pool;

import io.samphiredyke.core.rollout.Answer;
import io.samphiredyke.core.rollout.RolloutEvidence;
import io.samphiredyke.core.rollout.VersionFilter;
import io.samphiredyke.core.rollout.VersionSplit;
import io.samphiredyke.core.serving.EndpointRecord;
import org.jspecify.annotations.Nullable;

/** Applies the split of a roll-out to the endpoints of a service; without one it does nothing. */
final class VersionTraffic {

  /** Shorter times count as this one, as a busy host delays what it measures by milliseconds. */
  private static final double RESOLUTION_MILLIS = 10;

  private final EndpointIndex endpoints;
  private final ServiceLatency latency;
  private @Nullable VersionSplit split;

  VersionTraffic(EndpointIndex endpoints, ServiceLatency latency) {
    this.endpoints = endpoints;
    this.latency = latency;
  }

  /** Sets how requests are split between software versions, null for no roll-out. */
  void setSplit(@Nullable VersionSplit updated) {
    split = updated;
    applyFilter();
  }

  /** Admits the versions that may get the next request. */
  void applyFilter() {
    VersionSplit current = split;
    if (current == null) {
      endpoints.setFilter(VersionFilter.ADMIT_ALL);
      return;
    }
    String version = current.order().version();
    int newEndpoints = endpoints.endpointsOf(version);
    VersionFilter filter = current.filter(newEndpoints, endpoints.size() - newEndpoints);
    endpoints.setFilter(filter);
    if (endpoints.hasFreeSlot()) {
      return;
    }
    if (filter.kind() == VersionFilter.Kind.PREFER) {
      endpoints.setFilter(new VersionFilter(VersionFilter.Kind.EXCEPT, version));
    } else if (current.mayShare()) {
      endpoints.setFilter(new VersionFilter(VersionFilter.Kind.PREFER, version));
    }
  }

  /** Records a grant. */
  void granted(EndpointRecord endpoint) {
    VersionSplit current = split;
    if (current != null) {
      current.granted(endpoint.version());
      applyFilter();
    }
  }

  /** Records how a request ended, unless that says nothing of the endpoint's version. */
  void ended(
      EndpointLoad endpoint,
      RunningRequest ended,
      Outcome outcome,
      double observedMillis,
      long now) {
    VersionSplit current = split;
    if (current == null
        || outcome == Outcome.WITHDRAWN
        || outcome == Outcome.FULL
        || ended.request.isIsolated()) {
      return;
    }
    boolean isComparable =
        ended.totalMillis > 0 && observedMillis > 0 && !endpoint.isWarmingUp(ended.grantedAt);
    double expectedMillis = latency.idleTotalMillis(ended.request.estimate());
    double ratio =
        Math.max(RESOLUTION_MILLIS, observedMillis) / Math.max(RESOLUTION_MILLIS, expectedMillis);
    current.answered(
        endpoint.endpoint().version(),
        new Answer(
            ended.request.route(),
            endpoint.endpoint().id(),
            outcome != Outcome.SERVED,
            isComparable ? ratio : 0),
        endpoints.endpointsOf(current.order().version()),
        now);
  }

  /** Returns what the answers show about the roll-out, or null if there is none. */
  @Nullable RolloutEvidence evidence(long now) {
    VersionSplit current = split;
    return current == null
        ? null
        : current.evidence(endpoints.runningExcept(current.order().version()), now);
  }
}
