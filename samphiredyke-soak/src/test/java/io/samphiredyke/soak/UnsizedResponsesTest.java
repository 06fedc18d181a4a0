package io.samphiredyke.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs gateways as processes with endpoints whose responses end with their connection. */
class UnsizedResponsesTest {

  private static final int SECONDS = 10;

  @TempDir private Path directory;

  private EndpointFaultsResult run(long seed, String faults) {
    Path gateway = Path.of(System.getProperty("soak.gateway"));
    return EndpointFaultsRun.run(
        new SoakOptions(seed, SECONDS, 2, 6, 16, gateway, directory, 3, faults));
  }

  private static void assertNoFindings(EndpointFaultsResult result) {
    assertThat(result.findings()).as(String.join("\n", result.summary())).isEmpty();
  }

  @Test
  void ownCopyIsNotPartOfResponseWithoutLength() {
    assertNoFindings(run(31, "UNSIZED,OWN_COPIES"));
  }

  @Test
  void lateCopyIsNotPartOfTheNextResponseWithoutLength() {
    assertNoFindings(run(32, "UNSIZED,COPIES_WITHIN"));
  }

  @Test
  void responseWithoutLengthOfKilledEndpointIsNotComplete() {
    assertNoFindings(run(33, "UNSIZED,DEATHS"));
  }

  @Test
  void responseWithLengthOfKilledEndpointIsNotComplete() {
    assertNoFindings(run(34, "SIZED_DEATHS"));
  }

  @Test
  void soundResponsesWithoutLengthAreServedWhateverTheySay() {
    EndpointFaultsResult result = run(35, "UNSIZED,HTTP_BODIES");
    assertNoFindings(result);
    assertThat(result.soundLost()).as(String.join("\n", result.summary())).isZero();
  }
}
