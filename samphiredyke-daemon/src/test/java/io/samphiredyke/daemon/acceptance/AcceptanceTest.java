package io.samphiredyke.daemon.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.core.cli.Main;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the scenario files of the package {@code io.samphiredyke.daemon}.
 *
 * <p>Cucumber is run by its own command: in a JUnit suite, Surefire counts no scenario and passes
 * when one fails. Scenarios with the tag {@code @known-red} are listed in KNOWN-RED.txt.
 */
class AcceptanceTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "at-most-once",
        "whole-answer",
        "placement",
        "configuration",
        "leaving",
        "shutdown",
        "silence"
      })
  void allScenariosPass(String promise) {
    byte status =
        Main.run(
            "--monochrome",
            "--plugin",
            "summary",
            "--tags",
            System.getProperty("promises.tags", "not @known-red"),
            "--glue",
            "io.samphiredyke.daemon.acceptance",
            "classpath:io/samphiredyke/daemon/" + promise + ".feature");
    assertThat(status).as("exit status for " + promise).isZero();
  }
}
