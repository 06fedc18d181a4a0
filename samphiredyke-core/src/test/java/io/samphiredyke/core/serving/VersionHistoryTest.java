package io.samphiredyke.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class VersionHistoryTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long HORIZON = 10 * SECOND;
  private static final long EPOCH_MILLIS = 1_000_000;

  private final VersionHistory history = new VersionHistory(0);

  private static EndpointRecord endpoint(String version, long ageSeconds) {
    long startedAt = EPOCH_MILLIS - ageSeconds * 1_000;
    return new EndpointRecord("e", "s", "10.0.0.1:80", "a", 4, false, 0, startedAt, 1, version);
  }

  private String onlyVersion(long now, EndpointRecord... present) {
    return history.onlyVersion("s", List.of(present), HORIZON, now, EPOCH_MILLIS);
  }

  @Test
  void versionOfAnObservedServiceIsCertain() {
    EndpointRecord young = endpoint("v1", 1);
    history.observe(List.of(young), HORIZON, 11 * SECOND);
    assertThat(history.isCertain("s", HORIZON, 11 * SECOND)).isTrue();
    assertThat(onlyVersion(11 * SECOND, young)).isEqualTo("v1");
  }

  @Test
  void replacedVersionCountsUntilItsStreamsHaveEnded() {
    history.observe(List.of(endpoint("v1", 60)), HORIZON, 20 * SECOND);
    history.observe(List.of(endpoint("v2", 1)), HORIZON, 21 * SECOND);
    assertThat(history.isMixed("s")).isTrue();
    assertThat(onlyVersion(21 * SECOND, endpoint("v2", 1))).isNull();
    history.observe(List.of(endpoint("v2", 11)), HORIZON, 31 * SECOND);
    assertThat(onlyVersion(31 * SECOND, endpoint("v2", 11))).isEqualTo("v2");
  }

  /** A host that has just started can't know which endpoints were replaced before. */
  @Test
  void youngEndpointsMayHaveReplacedOthersBeforeTheHostStarted() {
    EndpointRecord old = endpoint("v2", 60);
    EndpointRecord young = endpoint("v2", 3);
    history.observe(List.of(old, young), HORIZON, SECOND);
    assertThat(onlyVersion(SECOND, old, young)).isNull();
    assertThat(onlyVersion(SECOND, old)).isEqualTo("v2");
  }

  @Test
  void serviceWithoutEndpointsHasNoVersion() {
    assertThat(onlyVersion(20 * SECOND)).isNull();
  }
}
