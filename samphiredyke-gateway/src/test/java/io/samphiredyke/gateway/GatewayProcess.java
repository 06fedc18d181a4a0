package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.SettingsFile;
import io.samphiredyke.platform.standin.PlatformFixtures;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A gateway as a process of its own, with a small heap and lowered limits of its machine. */
final class GatewayProcess implements AutoCloseable {

  /** Memory that the process may use, which its settings state, in MB. */
  static final int MEMORY_MB = 200;

  /** Descriptors that the process may open, which its settings state. */
  static final int MAX_DESCRIPTORS = 600;

  private static final int HEAP_MB = 32;
  private static final int DIRECT_MEMORY_MB = 16;

  /** Attempts of an ordinary caller that comes back after a refusal or a lost connection. */
  private static final int MAX_ATTEMPTS = 20;

  private final HttpClient client = HttpClient.newHttpClient();
  private final Process process;
  private final Path log;
  private final int firstPort;
  private int requestCount;

  private GatewayProcess(Process process, Path log, int firstPort) {
    this.process = process;
    this.log = log;
    this.firstPort = firstPort;
  }

  /** Starts a process that listens at ten consecutive ports. */
  static GatewayProcess start(Path directory, int firstPort, String store) throws IOException {
    Path settings = directory.resolve("host.conf");
    List<String> lines =
        new ArrayList<>(
            PlatformFixtures.settings(
                "host-1", "127.0.0.1", firstPort, List.of("127.0.0.1"), store));
    lines.add("Limits.MemoryMb=" + MEMORY_MB);
    lines.add("Limits.MaxFds=" + MAX_DESCRIPTORS);
    Files.write(settings, lines);
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx" + HEAP_MB + "m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:MaxDirectMemorySize=" + DIRECT_MEMORY_MB + "m",
            "-XX:ReservedCodeCacheSize=24m",
            "-Dio.netty.allocator.type=unpooled",
            "-Dio.netty.noPreferDirect=true",
            "-Djava.net.preferIPv4Stack=true",
            "-cp",
            System.getProperty("java.class.path"),
            GatewayMain.class.getName());
    builder.environment().put(SettingsFile.PATH_VARIABLE, settings.toString());
    Path log = directory.resolve("log");
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    return new GatewayProcess(builder.start(), log, firstPort);
  }

  private String log() throws IOException {
    return Files.readString(log);
  }

  /** Returns whether the log contains a text. */
  boolean logs(String text) {
    try {
      return log().contains(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a page of one of its addresses. */
  String page(int portOffset, String path) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http:/" + address(portOffset) + path)).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  /** Returns one of its addresses, by the position of the port. */
  InetSocketAddress address(int offset) {
    return new InetSocketAddress("127.0.0.1", firstPort + offset);
  }

  /** Sends a request once; returns its status, 0 if there was none. */
  int status(int portOffset, String path) {
    requestCount++;
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http:/" + address(portOffset) + path))
            .header("Authorization", "Bearer key")
            .header("X-Samphiredyke-Request-Id", "ordinary-" + requestCount)
            .header("X-Samphiredyke-Deadline-Ms", "15000")
            .timeout(Duration.ofSeconds(20))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Checks that an ordinary request, which may be repeated, is answered. */
  void assertAnswers(int portOffset, String path) throws IOException {
    int status = 0;
    for (int i = 0; i < MAX_ATTEMPTS && status != 200 && process.isAlive(); i++) {
      status = status(portOffset, path);
    }
    assertLives();
    assertThat(status).as(path).isEqualTo(200);
  }

  /** Checks that the process runs within the limits of its machine. */
  void assertLives() throws IOException {
    assertThat(log()).doesNotContain("OutOfMemoryError").doesNotContain("Too many open files");
    assertThat(process.isAlive()).isTrue();
    assertThat(peakMemoryMb()).isLessThanOrEqualTo(MEMORY_MB);
    assertThat(openDescriptors()).isLessThanOrEqualTo(MAX_DESCRIPTORS);
  }

  private long peakMemoryMb() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith("VmHWM:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) / 1_024;
      }
    }
    throw new IOException("no peak of the memory is stated");
  }

  private long openDescriptors() throws IOException {
    try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
      return open.count();
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
