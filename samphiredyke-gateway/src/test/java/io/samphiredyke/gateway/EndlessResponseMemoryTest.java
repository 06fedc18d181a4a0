package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.SettingsFile;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.PlatformFixtures;
import io.samphiredyke.platform.standin.RawServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A gateway process with the memory of the platform, and many responses without end at once. */
@Timeout(90)
class EndlessResponseMemoryTest extends GatewayHarness {

  private static final int RESPONSES = 120;
  private static final int OTHER_REQUESTS = 20;

  /** Responses that begin at once, fewer than connections that the endpoint lets wait. */
  private static final int MAX_CONNECTING = 12;

  /** Receive buffer of callers that do not read, which makes the gateway keep what it relays. */
  private static final int SMALL_BUFFER_BYTES = 4_096;

  /** Bytes of a body at which each response pauses, just below those that a plain one may hold. */
  private static final int PAUSE_BYTES = 500_000;

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nX-Samphiredyke-Server-Signature: s\r\nX-Samphiredyke-Request-Id: ";

  @TempDir private Path directory;
  private final AtomicInteger paused = new AtomicInteger();
  private Process process;
  private String address = "";

  @AfterEach
  void stopProcess() {
    process.destroyForcibly();
  }

  private void startProcess() throws IOException {
    int port = freePorts(10);
    address = "127.0.0.1:" + port;
    Path settings = directory.resolve("host.conf");
    Files.write(
        settings,
        PlatformFixtures.settings(
            "host-1", "127.0.0.1", port, List.of("127.0.0.1"), storeAddress()));
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:MaxDirectMemorySize=32m",
            "-Dio.netty.allocator.type=unpooled",
            "-Dio.netty.noPreferDirect=true",
            "-Djava.net.preferIPv4Stack=true",
            "-cp",
            System.getProperty("java.class.path"),
            GatewayMain.class.getName());
    builder.environment().put(SettingsFile.PATH_VARIABLE, settings.toString());
    builder.redirectErrorStream(true).redirectOutput(directory.resolve("log").toFile());
    process = builder.start();
  }

  /** Sends the same text without end. */
  private static RawServer.Script endless(String begin, String repeated) {
    return (id, socket) -> {
      RawServer.write(socket, begin.replace("ID", id));
      String part = repeated.repeat(1_000);
      while (true) {
        RawServer.write(socket, part);
      }
    };
  }

  /** Sends a body without end, which pauses until all responses have come as far. */
  private void respond(String id, Socket socket) throws IOException {
    RawServer.write(socket, HEAD + id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    String part = "1000\r\n" + "x".repeat(4096) + "\r\n";
    int sent = 0;
    while (sent < PAUSE_BYTES) {
      RawServer.write(socket, part);
      sent += part.length();
    }
    paused.incrementAndGet();
    await(() -> paused.get() >= RESPONSES);
    while (true) {
      RawServer.write(socket, part);
    }
  }

  /** Starts the process and sends requests to an endpoint without reading the responses. */
  private List<Socket> callEndpoint(RawServer.Script script) throws IOException {
    AtomicInteger received = new AtomicInteger();
    RawServer.Script counting =
        (id, socket) -> {
          received.incrementAndGet();
          script.respond(id, socket);
        };
    register("draining", plainEndpoints);
    String entry =
        plainEndpoints
            .get(0)
            .entry("ready")
            .replace("\"BatchSlots\":4", "\"BatchSlots\":" + RESPONSES)
            .replaceFirst("127\\.0\\.0\\.1:\\d+", RawServer.start(counting).address());
    store.put(StoreClient.ENDPOINT_TOPIC, "p-raw", entry);
    configure(1);
    startProcess();
    await(() -> status("/stream/x") == 200);
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < RESPONSES; i++) {
      String[] hostAndPort = address.split(":");
      Socket caller = new Socket();
      caller.setReceiveBufferSize(SMALL_BUFFER_BYTES);
      caller.connect(new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])));
      callers.add(caller);
      await(() -> received.get() + MAX_CONNECTING > callers.size() || !process.isAlive());
      RawServer.write(
          caller,
          "GET /unsafe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer key\r\n"
              + "X-Samphiredyke-Deadline-Ms: 15000\r\nX-Samphiredyke-Request-Id: endless-"
              + i
              + "\r\n\r\n");
    }
    return callers;
  }

  private int status(String path) {
    requestCount++;
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .header("Authorization", "Bearer key")
            .header("X-Samphiredyke-Request-Id", "other-" + requestCount)
            .header("X-Samphiredyke-Deadline-Ms", "15000")
            .timeout(Duration.ofSeconds(20))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException | CompletionException e) {
      return 0;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Guards against a process that ends because it keeps what a faulty endpoint sends. */
  @Test
  void otherRequestsAreServedWhileResponsesDoNotEnd() throws IOException {
    List<Socket> callers = callEndpoint(this::respond);
    assertOthersAreServed();
    await(() -> paused.get() >= RESPONSES || !process.isAlive());
    assertOthersAreServed();
    for (Socket caller : callers) {
      caller.close();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\n|Name: value\r\n",
        HEAD + "q\r\n\r\n|body",
        HEAD + "ID\r\nTransfer-Encoding: chunked\r\n\r\n|1;name=value\r\nx\r\n",
        HEAD + "ID\r\nTransfer-Encoding: chunked\r\n\r\n1;|name=value",
        HEAD + "ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n|Name: value\r\n",
        HEAD + "ID\r\nContent-Length: 999999999999\r\n\r\n|body",
        "HTTP/1.1 503 Full\r\nX-Samphiredyke-Not-Executed: 1\r\n\r\n|body"
      })
  void otherRequestsAreServedWhileBytesDoNotEnd(String beginAndRepeated) throws IOException {
    int border = beginAndRepeated.indexOf('|');
    List<Socket> callers =
        callEndpoint(
            endless(beginAndRepeated.substring(0, border), beginAndRepeated.substring(border + 1)));
    assertOthersAreServed();
    for (Socket caller : callers) {
      caller.close();
    }
  }

  private void assertOthersAreServed() throws IOException {
    for (int i = 0; i < OTHER_REQUESTS; i++) {
      assertThat(status("/stream/x")).isEqualTo(200);
    }
    assertThat(process.isAlive()).isTrue();
    assertThat(Files.readString(directory.resolve("log")))
        .doesNotContain("Java heap space")
        .doesNotContain("direct buffer memory");
  }
}
