package io.samphiredyke.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TraceCommandTest {

  @TempDir private Path directory;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private ExitCode trace(String id, String... lines) throws Exception {
    Path file = directory.resolve("front-1.log");
    Files.write(file, List.of(lines));
    return new Main(Map.of(), new PrintStream(out), new PrintStream(err))
        .run("trace", id, file.toString());
  }

  @Test
  void showsLinesOfTheRequestAndContextEvents() throws Exception {
    ExitCode code =
        trace(
            "r-1",
            "{\"ts\":1000,\"event\":\"endpoint_down\",\"endpoint\":\"i-1\"}",
            "{\"ts\":1500,\"event\":\"sent\",\"id\":\"r-1\",\"endpoint\":\"i-2\"}",
            "{\"ts\":1600,\"event\":\"sent\",\"id\":\"r-2\",\"endpoint\":\"i-2\"}",
            "{\"ts\":1700,\"event\":\"failed\",\"id\":\"r-1\",\"reason\":\"ended\"}",
            "not json",
            "{\"ts\":9000,\"event\":\"config\",\"version\":4}");
    assertThat(code).isEqualTo(ExitCode.OK);
    String output = out.toString(StandardCharsets.UTF_8);
    assertThat(output.lines())
        .containsExactly(
            "  1970-01-01T00:00:01Z front-1.log endpoint_down endpoint=i-1",
            "* 1970-01-01T00:00:01.500Z front-1.log sent endpoint=i-2",
            "* 1970-01-01T00:00:01.700Z front-1.log failed reason=ended");
    assertThat(err.toString(StandardCharsets.UTF_8)).contains("1 lines are not JSON");
  }

  @Test
  void reportsUnknownRequest() throws Exception {
    assertThat(trace("r-9", "{\"ts\":1,\"event\":\"start\"}")).isEqualTo(ExitCode.NOT_FOUND);
  }
}
