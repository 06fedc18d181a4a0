package io.samphiredyke.daemon.entry;

import static io.samphiredyke.daemon.testing.TestCluster.json;
import static io.samphiredyke.daemon.testing.TestConfiguration.ALPHA;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.EndpointKind;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.config.ServiceKind;
import io.samphiredyke.daemon.testing.RawEndpoint;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.io.IOException;
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

  private static final AtomicInteger CALLS = new AtomicInteger();
  private static final AtomicInteger RESULTS = new AtomicInteger();
  private static TestCluster cluster;
  private static RawEndpoint server;
  private static volatile List<String> onCall = List.of();
  private static volatile String onResult = "";
  private static volatile String firstResult = "";

  @BeforeAll
  static void start() throws IOException {
    server = RawEndpoint.start(IncompleteServiceResponseTest::respond);
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
                .address(server.address())
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

  private static List<String> respond(String request) {
    boolean isCall = request.startsWith("POST");
    (isCall ? CALLS : RESULTS).incrementAndGet();
    return isCall ? onCall : List.of(nextResult());
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
    onCall = List.of("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"id\":\"a\"}");
    assertThat(call().text()).isEqualTo("{\"id\":\"a\"}");
    assertThat(RESULTS).hasValue(0);
  }

  /** Guards against lines of JSON that are cut off between two and look complete. */
  @ParameterizedTest
  @ValueSource(strings = {"", "Content-Type: application/x-ndjson\r\n"})
  void linesOfJsonCutBetweenTwoAreNotComplete(String type) {
    String head = "HTTP/1.1 200 OK\r\n" + type + "\r\n";
    String lines = "{\"n\":1}\n{\"n\":2}\n";
    onResult = head + lines;
    for (String body : List.of("{\"n\":1}", "{\"n\":1}\n", lines)) {
      onCall = List.of(head + body);
      assertThat(call().text()).isEqualTo(lines);
    }
  }

  /** Guards against sound JSON without a length and a type that isn't served any more. */
  @Test
  void wholeJsonWithoutLengthAndTypeNeedsOneOtherCall() {
    onCall = List.of("HTTP/1.1 200 OK\r\n\r\n{\"id\":\"a\"}");
    onResult = "HTTP/1.1 200 OK\r\n\r\n{\"id\":\"a\"}";
    assertThat(call().text()).isEqualTo("{\"id\":\"a\"}");
    assertThat(RESULTS).hasValue(1);
  }
}
