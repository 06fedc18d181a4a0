package io.samphiredyke.daemon.entry;

import static io.samphiredyke.daemon.testing.TestCluster.json;
import static io.samphiredyke.daemon.testing.TestConfiguration.ALPHA;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.EndpointKind;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.config.ServiceKind;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plain services whose responses are cut off, or filled with a copy of themselves. */
class IncompleteServiceResponseTest {

  private static final String HOST = "host1";
  private static final String SERVICE = "raw";
  private static final String UNSIZED = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
  private static final String BODY = "filed under 4711";
  private static final String SIZED = sized(BODY);
  private static final String NOT_FOUND = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
  private static final long PAUSE_MILLIS = 30;

  private static final AtomicInteger CALLS = new AtomicInteger();
  private static final AtomicInteger RESULTS = new AtomicInteger();
  private static TestCluster cluster;
  private static ServerSocket server;
  private static volatile List<String> onCall = List.of();
  private static volatile String onResult = "";
  private static volatile String firstResult = "";

  @BeforeAll
  static void start() throws IOException {
    server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    startThread(IncompleteServiceResponseTest::acceptAll);
    cluster = TestCluster.builder().host(HOST, "dc1").start();
    cluster.publish(
        List.of(
            Service.builder()
                .name(SERVICE)
                .kind(ServiceKind.PLAIN)
                .tier("standard")
                .dataCentres(Set.of("dc1"))
                .build(),
            Endpoint.builder()
                .name("raw-1")
                .kind(EndpointKind.PLAIN_SERVICE)
                .address("127.0.0.1:" + server.getLocalPort())
                .dataCentre("dc1")
                .services(Set.of(SERVICE))
                .build()));
    onCall = List.of(SIZED);
    TestCluster.await("the service to be available", () -> call().status() == 200);
  }

  @AfterAll
  static void stop() throws IOException {
    cluster.close();
    server.close();
  }

  @BeforeEach
  void reset() {
    CALLS.set(0);
    RESULTS.set(0);
    onResult = SIZED;
    firstResult = "";
  }

  private static String sized(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
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

  /** Reads one request and sends the parts of its response with pauses. */
  private static void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String request = String.valueOf(in.readLine());
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
        // The bodies of the requests are empty.
      }
      boolean isCall = request.startsWith("POST");
      (isCall ? CALLS : RESULTS).incrementAndGet();
      for (String part : isCall ? onCall : List.of(nextResult())) {
        socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
        Thread.sleep(PAUSE_MILLIS);
      }
    } catch (IOException | InterruptedException e) {
      // The host closed the connection.
    }
  }

  private static String nextResult() {
    String next = firstResult.isEmpty() ? onResult : firstResult;
    firstResult = "";
    return next;
  }

  private static HttpResponse call() {
    return cluster.send(
        HttpRequest.post(
                cluster.callerAddress(HOST), "/v1/services/" + SERVICE + "/file", new byte[0])
            .header("authorization", TestCluster.bearer(ALPHA))
            .timeout(TestCluster.WAIT_LIMIT)
            .build());
  }

  private static List<String> wrongAfter(List<List<String>> responses) {
    List<String> wrong = new ArrayList<>();
    for (List<String> response : responses) {
      onCall = response;
      HttpResponse received = call();
      if (received.status() != 200 || !received.text().equals(BODY)) {
        wrong.add(received.status() + " " + received.text() + " after " + response);
      }
    }
    assertThat(CALLS).hasValue(responses.size());
    return wrong;
  }

  /** Guards against the response of a killed service that is cut off and looks complete. */
  @Test
  void responseWithoutLengthCutAtAnyByteIsNotComplete() {
    List<List<String>> cut = new ArrayList<>();
    for (int length = 0; length <= BODY.length(); length++) {
      cut.add(List.of(UNSIZED + BODY.substring(0, length)));
    }
    assertThat(wrongAfter(cut)).isEmpty();
  }

  /** Guards against a body that was cut off and is filled with a copy of its response. */
  @Test
  void bodyWithACopyIsNotComplete() {
    List<List<String>> filled = new ArrayList<>();
    int begin = SIZED.length() - BODY.length();
    for (int cut = begin; cut < SIZED.length(); cut++) {
      int missing = SIZED.length() - cut;
      String head = SIZED.substring(0, cut);
      filled.add(List.of(head + SIZED));
      filled.add(List.of(head + SIZED.substring(0, missing)));
      filled.add(List.of(head + SIZED.substring(0, missing), SIZED.substring(missing)));
      filled.add(List.of(UNSIZED + BODY + SIZED.substring(0, cut)));
    }
    assertThat(wrongAfter(filled)).isEmpty();
  }

  /** Guards against a truncated response that is delivered after its service has ended. */
  @Test
  void cutResponseOfAServiceThatForgotItIsUnknown() {
    onCall = List.of(UNSIZED + BODY.substring(0, 5));
    onResult = NOT_FOUND;
    HttpResponse response = call();
    assertThat(response.status()).isGreaterThanOrEqualTo(500);
    assertThat(json(response).path("ran").asText()).isEqualTo("unknown");
    assertThat(CALLS).hasValue(1);
  }

  /** Guards against the refusal to read a result that is delivered as the response. */
  @ParameterizedTest
  @ValueSource(strings = {"429 Too Many Requests", "500 Failed", "503 Service Unavailable"})
  void refusalOfAResultIsNotTheResponse(String refusal) {
    for (String first : List.of(UNSIZED + BODY.substring(0, 5), "HTTP/1.1 200")) {
      firstResult = "HTTP/1.1 " + refusal + "\r\nContent-Length: 0\r\n\r\n";
      assertThat(wrongAfter(List.of(List.of(first)))).isEmpty();
      CALLS.set(0);
    }
  }

  /** Guards against a sound service without lengths that isn't served any more. */
  @Test
  void soundResponsesWithoutLengthAreServed() {
    onCall = List.of(UNSIZED + BODY);
    onResult = UNSIZED + BODY;
    for (int i = 0; i < 20; i++) {
      assertThat(call().text()).isEqualTo(BODY);
    }
    assertThat(RESULTS).hasValue(20);
  }

  /** Guards against a call for each response that proves itself. */
  @Test
  void wholeJsonWithoutLengthNeedsNoOtherCall() {
    onCall = List.of("HTTP/1.1 200 OK\r\n\r\n{\"id\":\"a\"}");
    assertThat(call().text()).isEqualTo("{\"id\":\"a\"}");
    assertThat(RESULTS).hasValue(0);
  }
}
