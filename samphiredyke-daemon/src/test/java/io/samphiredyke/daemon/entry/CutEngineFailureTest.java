package io.samphiredyke.daemon.entry;

import static io.samphiredyke.daemon.testing.TestCluster.chatBody;
import static io.samphiredyke.daemon.testing.TestConfiguration.ALPHA;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.daemon.testing.TestConfiguration;
import io.samphiredyke.net.http.HttpResponse;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Engines whose failures and streams are cut off, or go on with a copy of themselves. */
class CutEngineFailureTest {

  private static final String HOST = "host1";
  private static final String BODY = "{\"error\":\"the prompt is too long by 17 tokens\"}";
  private static final String HEAD =
      "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n";
  private static final String SIZED = HEAD + "Content-Length: " + BODY.length() + "\r\n\r\n";
  private static final String UNKNOWN = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
  private static final String LENGTH = "content-length:";
  private static final long PAUSE_MILLIS = 30;

  private static TestCluster cluster;
  private static ServerSocket server;
  private static volatile String response = SIZED + BODY;
  private static volatile String resumed = UNKNOWN;

  @BeforeAll
  static void start() throws IOException {
    server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    startThread(CutEngineFailureTest::acceptAll);
    cluster = TestCluster.builder().host(HOST, "dc1").start();
    cluster.publish(
        List.of(
            TestConfiguration.modelService("raw", "raw-model", Set.of("dc1")),
            TestConfiguration.engine(
                "raw-engine", "127.0.0.1:" + server.getLocalPort(), "dc1", "raw-model")));
    TestCluster.await("the service to be available", () -> ask().status() == 400);
  }

  @AfterAll
  static void stop() throws IOException {
    cluster.close();
    server.close();
  }

  private static void startThread(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  private static void acceptAll() {
    try {
      while (true) {
        Socket socket = server.accept();
        startThread(() -> serve(socket));
      }
    } catch (IOException e) {
      // The tests have ended.
    }
  }

  private static void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      int length = 0;
      boolean isResume = in.readLine().startsWith("GET");
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
        if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH)) {
          length = Integer.parseInt(line.substring(LENGTH.length()).strip());
        }
      }
      for (int i = 0; i < length; i++) {
        in.read();
      }
      socket
          .getOutputStream()
          .write((isResume ? resumed : response).getBytes(StandardCharsets.US_ASCII));
      Thread.sleep(PAUSE_MILLIS);
    } catch (IOException | InterruptedException e) {
      // The host closed the connection.
    }
  }

  private static HttpResponse ask() {
    return cluster.chat(HOST, ALPHA, "raw", chatBody("hi", 4, false), Map.of()).join();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 20, 40})
  void failureThatIsCutOffIsNotComplete(int length) {
    String part = BODY.substring(0, length);
    resumed = UNKNOWN;
    response = HEAD + "\r\n" + part;
    assertThat(ask().text()).isNotEqualTo(part);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 20, 40})
  void failureThatIsFilledWithACopyIsNotComplete(int length) {
    String joined = SIZED + BODY.substring(0, length) + SIZED;
    resumed = UNKNOWN;
    response = joined.substring(0, SIZED.length() + BODY.length());
    assertThat(ask().text()).doesNotContain("HTTP/1");
  }

  private static String event(int number, String text) {
    return String.format(
        Locale.ROOT,
        "id: %d\ndata: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":"
            + "\"raw-model\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"},"
            + "\"finish_reason\":null}]}\n\n",
        number,
        text);
  }

  @ParameterizedTest
  @CsvSource({
    "0, Content-Type: text/event-stream",
    "1, Content-Type: text/event-stream",
    "8, Content-Type: text/event-stream",
    "20, Content-Type: text/event-stream",
    "60, Content-Type: text/event-stream",
    "120, Content-Type: text/event-stream",
    "20, Server: engine",
    "60, Server: engine"
  })
  void headOfACopyWithinAStreamReachesNoCaller(int length, String field) {
    String head = "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n";
    String whole = event(1, "a") + event(2, "b") + "id: 3\ndata: [DONE]\n\n";
    response = head + event(1, "a") + event(2, "b").substring(0, length) + head + whole;
    resumed = head + whole;
    HttpResponse received =
        cluster.chat(HOST, ALPHA, "raw", chatBody("hi", 4, true), Map.of()).join();
    assertThat(received.text()).isEqualTo(whole);
  }
}
