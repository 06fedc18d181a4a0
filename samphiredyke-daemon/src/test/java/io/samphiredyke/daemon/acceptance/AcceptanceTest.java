package io.samphiredyke.daemon.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.core.cli.Main;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the feature files of the package {@code io.samphiredyke.daemon}.
 *
 * <p>Calls the main class of Cucumber directly, because with a JUnit suite Surefire counts no
 * scenarios and passes even if one fails. Scenarios with the tag {@code @known-red} are listed in
 * KNOWN-RED.txt.
 */
class AcceptanceTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "at-most-once",
        "complete-response",
        "placement",
        "configuration",
        "draining",
        "shutdown",
        "stalled-connections"
      })
  void allScenariosPass(String feature) {
    byte status =
        Main.run(
            "--monochrome",
            "--plugin",
            "summary",
            "--tags",
            System.getProperty("promises.tags", "not @known-red"),
            "--glue",
            "io.samphiredyke.daemon.acceptance",
            "classpath:io/samphiredyke/daemon/" + feature + ".feature");
    assertThat(status).as("exit status for " + feature).isZero();
  }
}
