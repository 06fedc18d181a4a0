package io.samphiredyke.daemon.entry;

import static io.samphiredyke.daemon.testing.TestCluster.chatBody;
import static io.samphiredyke.daemon.testing.TestCluster.join;
import static io.samphiredyke.daemon.testing.TestConfiguration.ALPHA;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.daemon.testing.RawEndpoint;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.daemon.testing.TestConfiguration;
import io.samphiredyke.net.http.ConnectionLostException;
import io.samphiredyke.net.http.HttpResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Engines whose responses are cut off, or go on with a copy of themselves. */
class IncompleteEngineResponseTest {

  private static final String HOST = "host1";
  private static final String SERVICE = "raw";
  private static final String UNSIZED =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  private static final String EVENTS = event(1, "a") + event(2, "b") + "id: 3\ndata: [DONE]\n\n";
  private static final String NOT_FOUND = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

  /** Prime, so that the cuts are in all parts of an event. */
  private static final int SPLICE_STEP = 13;

  private static final AtomicInteger DISPATCHES = new AtomicInteger();
  private static TestCluster cluster;
  private static RawEndpoint engine;
  private static volatile List<String> onDispatch = List.of();
  private static volatile boolean isKnown;

  @BeforeAll
  static void start() throws IOException {
    engine = RawEndpoint.start(IncompleteEngineResponseTest::respond);
    cluster = TestCluster.builder().host(HOST, "dc1").start();
    cluster.publish(
        List.of(
            TestConfiguration.modelService(SERVICE, "raw-model", Set.of("dc1")),
            TestConfiguration.engine("raw-engine", engine.address(), "dc1", "raw-model")));
    onDispatch = List.of(UNSIZED + EVENTS);
    TestCluster.await("the service to be available", () -> ask().status() == 200);
  }

  @AfterAll
  static void stop() throws IOException {
    cluster.close();
    engine.close();
  }

  @BeforeEach
  void reset() {
    DISPATCHES.set(0);
    isKnown = true;
  }

  private static String event(int number, String text) {
    return "id: "
        + number
        + "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
        + text
        + "\"}}]}\n\n";
  }

  private static List<String> respond(String request) {
    if (request.startsWith("POST")) {
      DISPATCHES.incrementAndGet();
      return onDispatch;
    }
    if (!isKnown) {
      return List.of(NOT_FOUND);
    }
    int last = Integer.parseInt(request.replaceAll("(?s).*last-event-id: (\\d+).*", "$1"));
    return List.of(UNSIZED + EVENTS.substring(EVENTS.indexOf("id: " + (last + 1))));
  }

  private static HttpResponse ask() {
    return join(cluster.chat(HOST, ALPHA, SERVICE, chatBody("raw", 4, true), Map.of()));
  }

  private static List<String> wrongAfter(List<List<String>> responses) {
    List<String> wrong = new ArrayList<>();
    for (List<String> response : responses) {
      onDispatch = response;
      HttpResponse received = ask();
      if (received.status() != 200 || !received.text().equals(EVENTS)) {
        wrong.add(received.status() + " " + received.text() + " after " + response);
      }
    }
    assertThat(DISPATCHES).hasValue(responses.size());
    return wrong;
  }

  /** Guards against a stream that ends before its last event, as its engine was killed. */
  @Test
  void streamWithoutLengthCutAtAnyByteIsResumed() {
    List<List<String>> cut = new ArrayList<>();
    for (int length = 0; length < EVENTS.length(); length++) {
      cut.add(List.of(UNSIZED + EVENTS.substring(0, length)));
    }
    assertThat(wrongAfter(cut)).isEmpty();
  }

  /** Guards against the head of a copy that becomes part of an event. */
  @Test
  void copyWithinAStreamIsNoPartOfIt() {
    List<List<String>> spliced = new ArrayList<>();
    for (int length = 0; length < EVENTS.length(); length += SPLICE_STEP) {
      String begin = UNSIZED + EVENTS.substring(0, length);
      spliced.add(List.of(begin + UNSIZED + EVENTS));
      spliced.add(List.of(begin, UNSIZED + EVENTS));
    }
    assertThat(wrongAfter(spliced)).isEmpty();
  }

  /** Guards against a stream that its host gives up and that ends like a complete one. */
  @Test
  void streamThatCanNotBeContinuedIsNotComplete() {
    isKnown = false;
    onDispatch = List.of(UNSIZED + event(1, "a"));
    assertThat(cluster.chat(HOST, ALPHA, SERVICE, chatBody("raw", 4, true), Map.of()))
        .failsWithin(TestCluster.WAIT_LIMIT)
        .withThrowableThat()
        .withCauseInstanceOf(ConnectionLostException.class);
    assertThat(DISPATCHES).hasValue(1);
  }

  private static String errorBody() {
    return "{\"error\":{\"message\":\"no such model\"}}";
  }

  /** Guards against the failure of a killed engine that is cut off and looks complete. */
  @Test
  void failureWithoutLengthIsCompleteAsWholeJsonOnly() {
    isKnown = false;
    String head = "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n\r\n";
    onDispatch = List.of(head + errorBody().substring(0, 20));
    assertThat(ask().text()).contains("\"ran\":\"unknown\"");
    onDispatch = List.of(head + errorBody());
    HttpResponse whole = ask();
    assertThat(whole.status()).isEqualTo(400);
    assertThat(whole.text()).isEqualTo(errorBody());
    assertThat(DISPATCHES).hasValue(2);
  }
}
