package io.samphiredyke.core.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Software versions that the endpoints of each service had lately. Times are nanoseconds of a
 * monotonic clock.
 */
public final class VersionHistory {

  private final long observedSince;
  private final Map<String, Map<String, Long>> lastPresentAt = new HashMap<>();

  /** Creates a history that begins now. */
  public VersionHistory(long now) {
    this.observedSince = now;
  }

  /** Records the endpoints that are present, and forgets versions that were last present before. */
  public void observe(List<EndpointRecord> endpoints, long horizonNanos, long now) {
    for (EndpointRecord endpoint : endpoints) {
      observe(new StreamOrigin(endpoint.service(), endpoint.version()), now);
    }
    lastPresentAt.values().forEach(each -> each.values().removeIf(at -> now - at > horizonNanos));
    lastPresentAt.values().removeIf(Map::isEmpty);
  }

  /** Records a version at which a stream began, perhaps before the endpoints were recorded. */
  public void observe(StreamOrigin origin, long now) {
    lastPresentAt
        .computeIfAbsent(origin.service(), service -> new HashMap<>())
        .put(origin.version(), now);
  }

  /** Returns whether a service has or lately had endpoints of several versions. */
  public boolean isMixed(String service) {
    return lastPresentAt.getOrDefault(service, Map.of()).size() > 1;
  }

  /** Returns whether other versions than the present one are excluded within the horizon. */
  public boolean isCertain(String service, long horizonNanos, long now) {
    return !isMixed(service) && now - observedSince >= horizonNanos;
  }

  /**
   * Returns the version at which all streams within the horizon must have begun, or null if it is
   * not certain.
   *
   * @param endpoints present endpoints of the service
   * @param epochMillis time of day, which is compared with the start times of endpoints
   */
  public @Nullable String onlyVersion(
      String service,
      List<EndpointRecord> endpoints,
      long horizonNanos,
      long now,
      long epochMillis) {
    Map<String, Long> versions = lastPresentAt.getOrDefault(service, Map.of());
    if (versions.size() != 1) {
      return null;
    }
    if (!isCertain(service, horizonNanos, now)
        && isReplacing(endpoints, epochMillis - horizonNanos / 1_000_000)) {
      return null;
    }
    return versions.keySet().iterator().next();
  }

  /** Returns whether endpoints have started lately, perhaps in place of others. */
  private static boolean isReplacing(List<EndpointRecord> endpoints, long sinceEpochMillis) {
    return endpoints.stream().anyMatch(each -> each.startedAtMillis() > sinceEpochMillis);
  }
}
