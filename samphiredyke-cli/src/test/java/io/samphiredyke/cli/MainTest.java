package io.samphiredyke.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {

  @TempDir private Path directory;
  private FakePlatform platform;
  private final Map<String, String> environment = new HashMap<>();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @BeforeEach
  void start() throws Exception {
    platform = new FakePlatform();
    environment.put("SAMPHIREDYKE_LOG", platform.address());
    environment.put("SAMPHIREDYKE_HOSTS", platform.address());
    environment.put("SAMPHIREDYKE_AUTHOR", "kari");
  }

  @AfterEach
  void stop() {
    platform.close();
  }

  private ExitCode run(String... args) {
    out.reset();
    err.reset();
    PrintStream results = new PrintStream(out, true, StandardCharsets.UTF_8);
    PrintStream messages = new PrintStream(err, true, StandardCharsets.UTF_8);
    return new Main(environment, results, messages).run(args);
  }

  private String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String err() {
    return err.toString(StandardCharsets.UTF_8);
  }

  private String file(String text) throws IOException {
    Path file = directory.resolve("a.samphiredyke.yaml");
    Files.writeString(file, text);
    return file.toString();
  }

  @Test
  void publishesAndWaitsForRollout() throws IOException {
    String file = file("tiers:\n  urgent: {rank: 0}\n");
    assertThat(run("diff", file)).isEqualTo(ExitCode.OK);
    assertThat(out()).isEqualTo("+ tier urgent\n    rank: 0\n1 changes against offset -1\n");
    assertThat(run("publish", file, "--wait")).isEqualTo(ExitCode.OK);
    assertThat(out()).contains("accepted at offset 0", "in force on 1 hosts");
    assertThat(run("publish", file)).isEqualTo(ExitCode.OK);
    assertThat(out()).contains("nothing to publish");
    assertThat(run("history")).isEqualTo(ExitCode.OK);
    assertThat(out()).contains("0  1970-01-01T00:00:00Z  kari  applied  tier urgent");
    assertThat(platform.recordCount()).isEqualTo(1);
  }

  @Test
  void doesNotAppendTwiceAfterLostResponse() throws IOException {
    platform.dropsNextResponse = true;
    assertThat(run("publish", file("tiers:\n  urgent: {rank: 0}\n"))).isEqualTo(ExitCode.OK);
    assertThat(out()).contains("accepted at offset 0");
    assertThat(platform.recordCount()).isEqualTo(1);
  }

  @Test
  void rejectsChangeOfItemPublishedAfterBase() throws IOException {
    run("publish", file("tiers:\n  urgent: {rank: 0}\n"));
    run("publish", file("tiers:\n  urgent: {rank: 1}\n"));
    String file = file("tiers:\n  urgent: {rank: 2}\n");
    assertThat(run("publish", file, "--base", "0")).isEqualTo(ExitCode.CONFLICT);
    assertThat(err()).contains("tier urgent was changed after offset 0: published by kari at ");
    assertThat(run("publish", file, "--base", "1")).isEqualTo(ExitCode.OK);
  }

  @Test
  void listsHostsWithAnOlderConfiguration() throws IOException {
    platform.hostIsBehind = true;
    String file = file("tiers:\n  urgent: {rank: 0}\n");
    assertThat(run("publish", file, "--wait", "--timeout-seconds", "1"))
        .isEqualTo(ExitCode.NOT_IN_FORCE);
    assertThat(err()).contains(platform.address() + ": at offset -1, expected 0");
  }

  @Test
  void publishesNothingWhenFilesHaveErrors() throws IOException {
    assertThat(run("publish", file("tiers:\n  urgent: {rank: 9}\n"))).isEqualTo(ExitCode.FINDINGS);
    assertThat(err()).contains("a.samphiredyke.yaml:2:18: error: ", "nothing was published");
    assertThat(platform.recordCount()).isZero();
  }

  @Test
  void showsStatusAndDrainsHost() {
    assertThat(run("status")).isEqualTo(ExitCode.OK);
    assertThat(out()).contains("ENDPOINT", "engine-1  ACTIVE  entry-1  5          16     2");
    assertThat(run("status", "--json")).isEqualTo(ExitCode.OK);
    assertThat(out()).contains("\"queued\" : 2");
    assertThat(run("drain", platform.address())).isEqualTo(ExitCode.USAGE);
    assertThat(err()).contains("--admin-token is required");
    environment.put("SAMPHIREDYKE_ADMIN_TOKEN", "wrong");
    assertThat(run("drain", platform.address())).isEqualTo(ExitCode.HOST_UNAVAILABLE);
    environment.put("SAMPHIREDYKE_ADMIN_TOKEN", "secret");
    assertThat(run("drain", platform.address())).isEqualTo(ExitCode.OK);
    assertThat(out()).isEqualTo("entry-1 drains; 3 requests still run\n");
    assertThat(run("explain", "no-such-id")).isEqualTo(ExitCode.NOT_FOUND);
  }

  @Test
  void reportsWrongFlagsAndUnreachableServices() {
    environment.clear();
    assertThat(run("publish", "--no-such-flag", "x")).isEqualTo(ExitCode.USAGE);
    assertThat(run("publish", directory.toString())).isEqualTo(ExitCode.USAGE);
    assertThat(err()).contains("--log is required", "SAMPHIREDYKE_LOG");
    assertThat(run("history", "--log", "127.0.0.1:1")).isEqualTo(ExitCode.LOG_UNAVAILABLE);
    assertThat(err()).contains("can't connect to 127.0.0.1:1");
    assertThat(run("status", "--hosts", "127.0.0.1:1")).isEqualTo(ExitCode.HOST_UNAVAILABLE);
  }

  @Test
  void reportsOutputThatCannotBeWritten() {
    OutputStream fullDisk =
        new OutputStream() {
          @Override
          public void write(int value) throws IOException {
            throw new IOException("No space left on device");
          }
        };
    PrintStream results = new PrintStream(fullDisk, true, StandardCharsets.UTF_8);
    PrintStream messages = new PrintStream(err, true, StandardCharsets.UTF_8);
    ExitCode exitCode = new Main(environment, results, messages).run("key", "new");
    assertThat(exitCode).isEqualTo(ExitCode.OUTPUT_FAILED);
    assertThat(err()).contains("is the disk full?");
  }
}
