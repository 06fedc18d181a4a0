package io.samphiredyke.core.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The choice of peers, with a clock that each test advances. */
class PeerPathsTest {

  private static final String ADDRESS = "10.0.0.1:80";
  private static final String OTHER = "10.0.0.2:80";
  private static final List<String> PEERS = List.of("p1", "p2", "p3", "p4", "p5");

  private final PeerPaths paths = new PeerPaths(new SplittableRandom(1));
  private long now = Long.MAX_VALUE - TimeUnit.MILLISECONDS.toNanos(500);

  private void advance(long millis) {
    now += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private Map<String, Integer> firstChoices(int count) {
    Map<String, Integer> first = new TreeMap<>();
    for (int i = 0; i < count; i++) {
      first.merge(paths.choose(PEERS, ADDRESS, now).get(0), 1, Integer::sum);
    }
    return first;
  }

  @Test
  void unknownPeersAreChosenAtRandom() {
    assertThat(paths.choose(PEERS, ADDRESS, now)).hasSize(3).doesNotHaveDuplicates();
    assertThat(firstChoices(500))
        .hasSize(5)
        .allSatisfy((peer, n) -> assertThat(n).isGreaterThan(60));
    assertThat(paths.choose(List.of(), ADDRESS, now)).isEmpty();
  }

  @Test
  void peersThatConnectedComeFirstAndShareTheLoad() {
    paths.connected("p2", ADDRESS, now);
    paths.connected("p4", OTHER, now);
    paths.connected("p5", OTHER, now);
    Map<String, Integer> first = firstChoices(300);
    assertThat(first.keySet()).containsExactly("p2", "p4", "p5");
    assertThat(first.values()).allSatisfy(n -> assertThat(n).isGreaterThan(60));
  }

  @Test
  void singleWorkingPeerKeepsOthersExplored() {
    paths.connected("p2", ADDRESS, now);
    Map<String, Integer> first = firstChoices(800);
    assertThat(first.get("p2")).isBetween(700, 790);
    assertThat(first).hasSize(5);
  }

  @Test
  void failedPeerIsBarredForTheAddressThenComesLast() {
    paths.connected("p1", OTHER, now);
    paths.failed("p1", ADDRESS, now);
    paths.failed("p2", ADDRESS, now);
    advance(500);
    assertThat(paths.choose(List.of("p1", "p2"), ADDRESS, now)).isEmpty();
    assertThat(paths.choose(List.of("p1", "p2"), OTHER, now)).containsExactly("p1", "p2");
    paths.failed("p1", ADDRESS, now);
    advance(1_000);
    assertThat(paths.choose(List.of("p1", "p2", "p3"), ADDRESS, now))
        .containsExactly("p3", "p2", "p1");
    advance(5_000);
    paths.connected("p1", ADDRESS, now);
    assertThat(paths.choose(List.of("p1"), ADDRESS, now)).containsExactly("p1");
  }

  @Test
  void failuresInARowCountForAllAddresses() {
    paths.connected("p1", OTHER, now);
    paths.connected("p2", OTHER, now);
    paths.failed("p1", "10.0.0.3:80", now);
    paths.failed("p1", "10.0.0.4:80", now);
    for (int i = 0; i < 100; i++) {
      assertThat(paths.choose(List.of("p1", "p2"), ADDRESS, now)).containsExactly("p2", "p1");
    }
  }

  @Test
  void unavailablePeerIsBarredForAllAddresses() {
    paths.connected("p1", ADDRESS, now);
    paths.unavailable("p1", now);
    assertThat(paths.choose(List.of("p1"), ADDRESS, now)).isEmpty();
    assertThat(paths.choose(List.of("p1"), OTHER, now)).isEmpty();
    advance(1_000);
    List<String> order = new ArrayList<>(paths.choose(List.of("p1", "p2"), ADDRESS, now));
    assertThat(order).containsExactly("p2", "p1");
    paths.connected("p1", OTHER, now);
    assertThat(paths.choose(List.of("p1"), ADDRESS, now)).containsExactly("p1");
  }
}
