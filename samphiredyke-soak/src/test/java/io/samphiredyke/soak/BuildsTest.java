package io.samphiredyke.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Findings of runs with two builds. */
class BuildsTest {

  private static final Path NEW = Path.of("gateway.jar");
  private static final Path EARLIER = Path.of("jars", "5f82c2f.jar");

  private final Builds builds =
      new Builds(new SoakOptions(1, 1, 3, 2, 1, NEW, Path.of("run"), 0, "", EARLIER));

  private String finding(long sentMillis) {
    return "MIXED r1"
        + builds.ofLine(
            "MIXED r1",
            List.of(new Exchange("r1", RequestKind.SAFE, "host-0", sentMillis, 200, true, "x")),
            100);
  }

  @Test
  void findingOfTheEarlierBuildAloneDoesNotCount() {
    builds.started("host-0", EARLIER, 0);
    builds.started("host-1", NEW, 0);
    builds.started("host-0", NEW, 1_000);
    assertThat(finding(500)).isEqualTo("MIXED r1 [5f82c2f]").matches(builds::isOfEarlier);
    assertThat(finding(950)).isEqualTo("MIXED r1 [5f82c2f gateway]").matches(this::counts);
    assertThat(finding(1_000)).isEqualTo("MIXED r1 [gateway]").matches(this::counts);
    assertThat("QUOTA over all hosts").matches(this::counts);
  }

  private boolean counts(String finding) {
    return !builds.isOfEarlier(finding);
  }
}
