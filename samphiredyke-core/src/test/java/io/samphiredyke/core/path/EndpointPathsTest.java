package io.samphiredyke.core.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Lost paths and their probes, with a clock that each test advances. */
class EndpointPathsTest {

  private static final String ADDRESS = "10.0.0.1:80";
  private static final String OTHER = "10.0.0.2:80";

  private final EndpointPaths paths = new EndpointPaths(new SplittableRandom(1));
  private long now = Long.MAX_VALUE - TimeUnit.MILLISECONDS.toNanos(500);

  private void advance(long millis) {
    now += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @Test
  void confirmedLossHoldsUntilDirectConnection() {
    assertThat(paths.isLost(ADDRESS, now)).isFalse();
    assertThat(paths.confirmedLost(ADDRESS, now)).isTrue();
    assertThat(paths.confirmedLost(ADDRESS, now)).isFalse();
    advance(2_000);
    assertThat(paths.isLost(ADDRESS, now)).isTrue();
    assertThat(paths.isLost(OTHER, now)).isFalse();
    assertThat(paths.directConnected(ADDRESS, now)).isEqualTo(TimeUnit.SECONDS.toNanos(2));
    assertThat(paths.isLost(ADDRESS, now)).isFalse();
    assertThat(paths.directConnected(ADDRESS, now)).isEqualTo(-1);
  }

  @Test
  void lostPathIsProbedOnceEachSecond() {
    paths.confirmedLost(ADDRESS, now);
    assertThat(paths.beginDueProbes(now)).isEmpty();
    advance(1_200);
    assertThat(paths.beginDueProbes(now)).containsExactly(ADDRESS);
    advance(5_000);
    assertThat(paths.beginDueProbes(now)).isEmpty();
    paths.probeEnded(ADDRESS, now);
    advance(799);
    assertThat(paths.beginDueProbes(now)).isEmpty();
    advance(401);
    assertThat(paths.beginDueProbes(now)).containsExactly(ADDRESS);
  }

  @Test
  void probesOfSeveralAddressesSpread() {
    for (int i = 0; i < 100; i++) {
      paths.confirmedLost("10.0.1." + i + ":80", now);
    }
    advance(1_000);
    assertThat(paths.beginDueProbes(now).size()).isBetween(30, 70);
  }

  @Test
  void suspicionsProbeAnAddressOnceEachSecond() {
    assertThat(paths.beginProbe(ADDRESS, now)).isTrue();
    assertThat(paths.beginProbe(ADDRESS, now)).isFalse();
    paths.probeEnded(ADDRESS, now);
    advance(700);
    assertThat(paths.beginProbe(ADDRESS, now)).isFalse();
    assertThat(paths.beginProbe(OTHER, now)).isTrue();
    advance(500);
    assertThat(paths.beginProbe(ADDRESS, now)).isTrue();
  }

  @Test
  void unusedLossExpires() {
    paths.confirmedLost(ADDRESS, now);
    paths.confirmedLost(OTHER, now);
    advance(29_000);
    assertThat(paths.isLost(OTHER, now)).isTrue();
    advance(1_500);
    assertThat(paths.beginDueProbes(now)).containsExactly(OTHER);
    assertThat(paths.isLost(ADDRESS, now)).isFalse();
    assertThat(paths.size()).isEqualTo(1);
  }

  @Test
  void endpointThatLeavesIsForgotten() {
    paths.confirmedLost(ADDRESS, now);
    paths.forget(ADDRESS);
    advance(2_000);
    assertThat(paths.isLost(ADDRESS, now)).isFalse();
    assertThat(paths.beginDueProbes(now)).isEmpty();
  }
}
