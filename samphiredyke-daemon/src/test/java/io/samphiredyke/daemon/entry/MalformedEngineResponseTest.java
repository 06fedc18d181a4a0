package io.samphiredyke.daemon.entry;

import static io.samphiredyke.daemon.testing.TestCluster.chatBody;
import static io.samphiredyke.daemon.testing.TestCluster.join;
import static io.samphiredyke.daemon.testing.TestCluster.json;
import static io.samphiredyke.daemon.testing.TestConfiguration.ALPHA;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.daemon.testing.TestConfiguration;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.net.http.HttpServer;
import io.samphiredyke.net.http.HttpServerOptions;
import io.samphiredyke.net.http.ResponseStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against engines whose responses are malformed, too long or faster than the caller reads. A
 * request whose response can be resumed must still complete with a single dispatch.
 */
class MalformedEngineResponseTest {

  private static final String HOST = "host1";
  private static final String SERVICE = "odd";
  private static final int ANSWER_LIMIT = 64 * 1024 * 1024;

  /**
   * The receive buffer of the slow caller: several segments of the loopback interface, 64 KiB each.
   * With less than one segment, the kernel sends only on its persist timer, a few kilobytes every
   * 200 ms, and the 20 MB of this test take minutes.
   */
  private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

  private static final String COMPLETE_STREAM =
      event(1, "a") + event(2, "b") + "id: 3\ndata: [DONE]\n\n";

  private static TestCluster cluster;
  private static volatile Consumer<HttpExchange> onDispatch;
  private static volatile Consumer<HttpExchange> onResume;
  private static final AtomicInteger dispatches = new AtomicInteger();

  @BeforeAll
  static void start() {
    cluster =
        TestCluster.builder()
            .host(HOST, "dc1")
            .settings(settings -> settings.toBuilder().answerLimit(ANSWER_LIMIT).build())
            .start();
    InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
    HttpServer server =
        join(
            HttpServer.start(
                cluster.group(),
                anyPort,
                HttpServerOptions.defaults(),
                MalformedEngineResponseTest::serve));
    cluster.publish(
        List.of(
            TestConfiguration.modelService(SERVICE, "odd-model", Set.of("dc1")),
            TestConfiguration.engine(
                "odd-engine", "127.0.0.1:" + server.address().getPort(), "dc1", "odd-model")));
    onDispatch = MalformedEngineResponseTest::sendCompleteStream;
    TestCluster.await("the service to be available", () -> ask("hello").status() == 200);
  }

  @AfterAll
  static void stop() {
    cluster.close();
  }

  @BeforeEach
  void reset() {
    dispatches.set(0);
    onResume = MalformedEngineResponseTest::sendRest;
  }

  private static void serve(HttpExchange exchange) {
    if (exchange.method().equals("POST")) {
      dispatches.incrementAndGet();
      exchange.body().thenRun(() -> onDispatch.accept(exchange));
    } else {
      onResume.accept(exchange);
    }
  }

  private static String event(int number, String text) {
    String chunk =
        "{\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"odd-model\","
            + "\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
            + text
            + "\"},\"finish_reason\":null}]}";
    return "id: " + number + "\ndata: " + chunk + "\n\n";
  }

  private static ResponseStream stream(HttpExchange exchange, String text) {
    ResponseStream stream = exchange.startStream(200, Map.of("content-type", "text/event-stream"));
    stream.write(text.getBytes(StandardCharsets.UTF_8));
    return stream;
  }

  private static void sendCompleteStream(HttpExchange exchange) {
    stream(exchange, COMPLETE_STREAM).end();
  }

  private static void sendRest(HttpExchange exchange) {
    int last = Integer.parseInt(String.valueOf(exchange.header("last-event-id")));
    String rest = COMPLETE_STREAM.substring(COMPLETE_STREAM.indexOf("id: " + (last + 1)));
    stream(exchange, rest).end();
  }

  private static HttpResponse ask(String prompt) {
    return join(cluster.chat(HOST, ALPHA, SERVICE, chatBody(prompt, 4, false), Map.of()));
  }

  private static void assertCompleteAfter(String firstBytes) {
    onDispatch = exchange -> stream(exchange, firstBytes).end();
    HttpResponse response = ask("break");
    assertThat(response.status()).isEqualTo(200);
    String content =
        json(response).path("choices").path(0).path("message").path("content").asText();
    assertThat(content).isEqualTo("ab");
    assertThat(dispatches).hasValue(1);
  }

  @Test
  void resumesAfterMalformedEvents() {
    assertCompleteAfter("this is no event\n\n" + COMPLETE_STREAM);
  }

  @Test
  void resumesAfterEventsWithoutNumbers() {
    assertCompleteAfter(event(1, "a") + "id: two\ndata: {}\n\n" + COMPLETE_STREAM);
  }

  @Test
  void resumesAfterGapInNumbers() {
    assertCompleteAfter(event(1, "a") + event(3, "c"));
  }

  @Test
  void dropsRepeatedEvents() {
    assertCompleteAfter(event(1, "a") + event(1, "x") + event(2, "b") + event(1, "y"));
  }

  @Test
  void resumesAfterOversizedEvent() {
    assertCompleteAfter(event(1, "a") + event(2, "z".repeat(2_000_000)));
  }

  /** Guards against an error in place of the rest of a stream that becomes part of it. */
  @ParameterizedTest
  @CsvSource({
    "500, text/plain, failed",
    "500, text/event-stream, id: 2|data: failed||",
    "302, text/plain, ''",
    "204, text/plain, ''",
    "200, application/json, '{\"error\":\"failed\"}||'",
    "200, text/event-stream, data: failed||",
    "200, text/event-stream, failed||"
  })
  void errorInPlaceOfTheRestIsNoPartOfAStream(int status, String type, String text)
      throws IOException {
    onDispatch = exchange -> stream(exchange, event(1, "a")).end();
    onResume =
        exchange -> {
          onResume = MalformedEngineResponseTest::sendRest;
          byte[] body = text.replace('|', '\n').getBytes(StandardCharsets.UTF_8);
          exchange.respond(status, Map.of("content-type", type), body);
        };
    try (Socket socket = new Socket()) {
      socket.connect(cluster.callerAddress(HOST));
      socket.getOutputStream().write(streamRequest());
      String response = readAll(socket.getInputStream());
      assertThat(response).contains(event(1, "a"), event(2, "b"), "[DONE]").endsWith("0\r\n\r\n");
      assertThat(response).doesNotContain("failed");
    }
    assertThat(dispatches).hasValue(1);
  }

  @Test
  void reportsExecutionIfResponseIsNotJson() {
    onDispatch = exchange -> stream(exchange, "id: 1\ndata: {]\n\nid: 2\ndata: [DONE]\n\n").end();
    HttpResponse response = ask("not JSON");
    assertThat(response.status()).isEqualTo(502);
    assertThat(json(response).path("ran").asText()).isEqualTo("yes");
  }

  @Test
  void abortsEndlessResponseAndReportsExecution() {
    CompletableFuture<Void> closed = new CompletableFuture<>();
    onDispatch =
        exchange -> {
          exchange.disconnected().thenRun(() -> closed.complete(null));
          sendEvents(exchange, Integer.MAX_VALUE, new AtomicLong());
        };
    HttpResponse response = ask("endless");
    assertThat(response.status()).isEqualTo(502);
    assertThat(json(response).path("ran").asText()).isEqualTo("yes");
    join(closed);
    assertThat(dispatches).hasValue(1);
  }

  /** Guards against a failure whose body is cut off and reported as complete. */
  @Test
  void longErrorResponseIsComplete() {
    String body = "\"" + "f".repeat(100_000) + "\"";
    onDispatch =
        exchange ->
            exchange.respond(
                500,
                Map.of("content-type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8));
    HttpResponse response = ask("long failure");
    assertThat(response.status()).isEqualTo(500);
    assertThat(response.text()).isEqualTo(body);
  }

  /** Guards against a failure whose body is read without end. */
  @Test
  void abortsEndlessErrorResponse() {
    CompletableFuture<Void> closed = new CompletableFuture<>();
    onDispatch =
        exchange -> {
          exchange.disconnected().thenRun(() -> closed.complete(null));
          ResponseStream stream =
              exchange.startStream(500, Map.of("content-type", "application/json"));
          sendMore(stream, Integer.MAX_VALUE, new AtomicLong(), exchange.disconnected());
        };
    assertThat(ask("endless failure").status()).isEqualTo(502);
    join(closed);
    assertThat(dispatches).hasValue(1);
  }

  @Test
  void appliesBackpressureWhileCallerDoesNotRead() throws IOException {
    int events = 20_000;
    AtomicLong sent = new AtomicLong();
    onDispatch = exchange -> sendEvents(exchange, events, sent);
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.connect(cluster.callerAddress(HOST));
      socket.getOutputStream().write(streamRequest());
      AtomicLong lastSent = new AtomicLong(-1);
      AtomicInteger unchangedPolls = new AtomicInteger();
      TestCluster.await(
          "the engine to be throttled",
          () -> {
            long now = sent.get();
            unchangedPolls.set(
                now > 0 && now == lastSent.getAndSet(now) ? unchangedPolls.get() + 1 : 0);
            return unchangedPolls.get() > 10 && now < events;
          });
      String response = readAll(socket.getInputStream());
      assertThat(response).contains("\"content\":\"" + "e".repeat(1_000), "[DONE]");
      assertThat(response.split("id: ", -1)).hasSize(events + 2);
    }
  }

  private static byte[] streamRequest() {
    String body = chatBody("much", 4, true);
    String head =
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: "
            + TestCluster.bearer(ALPHA)
            + "\r\nsamphiredyke-service: odd\r\nconnection: close\r\ncontent-length: "
            + body.length()
            + "\r\n\r\n";
    return (head + body).getBytes(StandardCharsets.UTF_8);
  }

  private static String readAll(InputStream in) throws IOException {
    return new String(in.readAllBytes(), StandardCharsets.UTF_8);
  }

  /** Sends events of one kilobyte as fast as they are read. */
  private static void sendEvents(HttpExchange exchange, int count, AtomicLong sent) {
    ResponseStream stream = stream(exchange, "");
    CompletableFuture<Void> disconnected = exchange.disconnected();
    sendMore(stream, count, sent, disconnected);
  }

  private static void sendMore(
      ResponseStream stream, int count, AtomicLong sent, CompletableFuture<Void> disconnected) {
    while (stream.isWritable() && sent.get() < count && !disconnected.isDone()) {
      String event = event((int) sent.incrementAndGet(), "e".repeat(1_000));
      stream.write(event.getBytes(StandardCharsets.UTF_8));
    }
    if (sent.get() >= count) {
      stream.write(("id: " + (count + 1) + "\ndata: [DONE]\n\n").getBytes(StandardCharsets.UTF_8));
      stream.end();
    } else if (!disconnected.isDone()) {
      stream.whenWritable(() -> sendMore(stream, count, sent, disconnected));
    }
  }
}
