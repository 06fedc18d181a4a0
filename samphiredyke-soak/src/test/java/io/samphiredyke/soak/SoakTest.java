package io.samphiredyke.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a short soak with a fixed seed. */
class SoakTest {

  private static final int SECONDS = 15;

  @TempDir private Path directory;

  @Test
  void reportsNoFindingsUnderFaults() {
    SoakOptions options =
        new SoakOptions(
            1, SECONDS, 3, 4, 6, Path.of(System.getProperty("soak.gateway")), directory, 1, "");
    SoakResult result = SoakRun.run(options);
    assertThat(result.findings()).as(String.join("\n", result.lines())).isEmpty();
  }
}
