package io.samphiredyke.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs gateways as processes with endpoints that misbehave, with fixed seeds. */
class EndpointFaultsTest {

  private static final int SECONDS = 10;

  @TempDir private Path directory;

  private EndpointFaultsResult run(
      long seed, int hosts, int endpoints, int callers, String faults) {
    Path gateway = Path.of(System.getProperty("soak.gateway"));
    return EndpointFaultsRun.run(
        new SoakOptions(seed, SECONDS, hosts, endpoints, callers, gateway, directory, 2, faults));
  }

  private static void assertNoFindings(EndpointFaultsResult result) {
    assertThat(result.findings()).as(String.join("\n", result.summary())).isEmpty();
  }

  @Test
  void repeatedRefusalIsNotTakenForTheNextRequest() {
    assertNoFindings(run(1, 2, 6, 16, "COPIES,FAILURES,REFUSALS"));
  }

  @Test
  void responseThatBreaksOffIsNeitherCompleteNorWithoutAnAnswer() {
    assertNoFindings(run(2, 2, 6, 16, "COPIES,FAILURES,BREAKS"));
  }

  @Test
  @Tag("known-red")
  void streamWithoutLengthIsNotCompleteBeforeItsLastEvent() {
    assertNoFindings(run(3, 2, 6, 16, "UNSIZED,BREAKS,KILLS"));
  }

  @Test
  void eventsSentAgainAndBytesOfOtherResponsesAreNotRelayed() {
    assertNoFindings(run(4, 1, 2, 16, "COPIES,SPLICES,EVENTS"));
  }

  @Test
  void copyOfRefusalIsNotTheAnswerToTheSameIdSentAgain() {
    assertNoFindings(run(6, 2, 4, 8, "REFUSAL_COPIES"));
  }

  @Test
  void brittleEndpointsDoNotFallOver() {
    assertNoFindings(run(7, 3, 5, 20, "BRITTLE"));
  }
}
