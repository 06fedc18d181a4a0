package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.StoreClient;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An endpoint that sends bytes without end until the connection is closed. */
@Timeout(60)
class EndlessResponseTest extends GatewayHarness {

  private static final String ID = "endless-1";

  /** Time that callers give; much longer than the time in which a useless response is noticed. */
  private static final int CALLER_MILLIS = 10_000;

  private static final long PROMPT_MILLIS = 2_000;

  private final AtomicInteger open = new AtomicInteger();
  private volatile String head = "";
  private volatile String repeated = "";
  private ServerSocket server;

  @BeforeEach
  void startEndpoint() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    Thread acceptor = new Thread(this::acceptAll);
    acceptor.setDaemon(true);
    acceptor.start();
    register("draining", plainEndpoints);
    String entry =
        String.format(
            Locale.ROOT,
            "{\"Service\":\"plain\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"a\","
                + "\"Version\":\"v1\",\"BatchSlots\":4,\"State\":\"ready\",\"ColdLeftMs\":0,"
                + "\"Sequence\":1,\"born\":1}",
            server.getLocalPort());
    store.put(StoreClient.ENDPOINT_TOPIC, ID, entry);
  }

  @AfterEach
  void stopEndpoint() throws IOException {
    server.close();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = server.accept();
        Thread serving = new Thread(() -> serve(socket));
        serving.setDaemon(true);
        serving.start();
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket socket) {
    open.incrementAndGet();
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String line = in.readLine();
      while (line != null && !line.isEmpty()) {
        line = in.readLine();
      }
      OutputStream out = socket.getOutputStream();
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      byte[] chunk = repeated.repeat(1_000).getBytes(StandardCharsets.US_ASCII);
      while (true) {
        out.write(chunk);
      }
    } catch (IOException e) {
      open.decrementAndGet();
    }
  }

  private HttpResponse<String> answer(String firstBytes, String endless) {
    head = firstBytes;
    repeated = endless;
    RunningGateway running = startConfiguredGateway();
    await(() -> running.gateway().directory().find(ID) != null);
    HttpRequest request =
        request(running, "/unsafe/x")
            .setHeader("X-Samphiredyke-Deadline-Ms", Integer.toString(CALLER_MILLIS))
            .timeout(Duration.ofMillis(2 * CALLER_MILLIS))
            .POST(HttpRequest.BodyPublishers.ofString("x"))
            .build();
    long sentAt = System.nanoTime();
    HttpResponse<String> response = send(request);
    assertThat(System.nanoTime() - sentAt).isLessThan(PROMPT_MILLIS * 1_000_000);
    await(() -> open.get() == 0);
    return response;
  }

  @Test
  void firstLineWithoutEndIsAnsweredAtOnce() {
    assertThat(answer("", "garbage").statusCode()).isEqualTo(502);
  }

  @Test
  void headWithoutEndIsAnsweredAtOnce() {
    assertThat(answer("HTTP/1.1 200 OK\r\n", "X-Name: value\r\n").statusCode()).isEqualTo(502);
  }

  @Test
  void interimResponsesWithoutEndAreAnsweredAtOnce() {
    assertThat(answer("", "HTTP/1.1 100 Continue\r\n\r\n").statusCode()).isEqualTo(502);
  }

  @Test
  void blankLinesWithoutEndAreAnsweredAtOnce() {
    assertThat(answer("", "\r\n").statusCode()).isEqualTo(502);
  }

  @Test
  void emptyResponsesToAnotherRequestWithoutEndAreAnsweredAtOnce() {
    String other =
        "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: other\r\nContent-Length: 0\r\n\r\n";
    assertThat(answer("", other).statusCode()).isEqualTo(502);
  }

  @ParameterizedTest
  @ValueSource(strings = {"1;", "0\r\nName: "})
  void chunkOrTrailerWithoutEndIsAnsweredAtOnce(String begin) {
    String head =
        "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: r-1\r\n"
            + "X-Samphiredyke-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    assertThat(answer(head + begin, "abcd").statusCode()).isEqualTo(502);
  }

  @Test
  void refusalWithABodyWithoutEndIsAnsweredAtOnce() {
    HttpResponse<String> response =
        answer(
            "HTTP/1.1 503 Busy\r\nX-Samphiredyke-Not-Executed: 1\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n",
            "4\r\nabcd\r\n");
    assertThat(response.statusCode()).isEqualTo(503);
  }

  @Test
  void unusableResponseWithABodyWithoutEndIsAnsweredAtOnce() {
    assertThat(answer("HTTP/1.1 200 OK\r\n\r\n", "abcd").statusCode()).isEqualTo(502);
  }

  @Test
  void responseToAnotherRequestWithoutEndIsAnsweredAtOnce() {
    HttpResponse<String> response =
        answer("HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: other\r\n\r\n", "abcd");
    assertThat(response.statusCode()).isEqualTo(502);
  }
}
