package io.samphiredyke.client;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.net.http.HttpHandler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the client against a server with scripted responses. */
class SamphiredykeClientTest {

  private static final ChatRequest CHAT =
      ChatRequest.builder("coverage").message(ChatMessage.user("covered?")).build();
  private static final Duration INACTIVITY_TIMEOUT = Duration.ofMillis(300);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<String> notExecuted = new ArrayList<>();
  private final StringBuilder receivedText = new StringBuilder();
  private final ResponseListener listener =
      new ResponseListener() {
        @Override
        public void onNotExecuted(String id) {
          notExecuted.add(id);
        }

        @Override
        public void onText(long offset, String text) {
          receivedText.append(text);
        }
      };
  private ScriptedServer server;
  private SamphiredykeClient client;

  @BeforeEach
  void start() {
    server = new ScriptedServer(group);
    client = client(Duration.ZERO);
  }

  private SamphiredykeClient client(Duration unknownOutcomeTimeout) {
    ClientOptions options =
        ClientOptions.defaults()
            .withInactivityTimeout(INACTIVITY_TIMEOUT)
            .withUnknownOutcomeTimeout(unknownOutcomeTimeout);
    return SamphiredykeClient.builder()
        .group(group)
        .customerKey("key")
        .seeds(List.of(server.address()))
        .options(options)
        .build();
  }

  @AfterEach
  void stop() {
    client.close();
    server.stop();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private <T extends RequestException> T failure(ChatRequest request, Class<T> type) {
    CompletionException thrown =
        catchThrowableOfType(
            CompletionException.class, () -> client.chat(request, listener).join());
    assertThat(thrown.getCause()).isInstanceOf(type);
    return type.cast(thrown.getCause());
  }

  private static ChatRequest within(Duration deadline) {
    return ChatRequest.builder("coverage")
        .message(ChatMessage.user("covered?"))
        .deadline(deadline)
        .build();
  }

  @Test
  void receivesCompleteStream() {
    server.then(ScriptedServer.events(1, 3, true, false));
    Response response = client.chat(CHAT, listener).join();
    assertThat(response.text()).isEqualTo("t1 t2 t3 ").isEqualTo(receivedText.toString());
    assertThat(response.requestId()).isEqualTo("ticket1.1");
    assertThat(response.attemptCounts()).isEqualTo(new AttemptCounts(1, 1));
  }

  /** Guards against a repeated refusal of an earlier request, after which this one ran twice. */
  @Test
  void responseToAnotherRequestIsIgnored() {
    server
        .then(ScriptedServer.problem(503, "no", Map.of("idempotency-key", "ticket0.1")))
        .then(ScriptedServer.events(1, 2, true, false));
    assertThat(client.chat(CHAT, listener).join().text()).isEqualTo("t1 t2 ");
    assertThat(server.posts()).extracting(ScriptedServer.Post::id).containsOnly("ticket1.1");
  }

  /** Guards against the copy of a failure without id that is taken for a service's response. */
  @Test
  void responseWithoutIdOnReusedConnectionIsIgnored() {
    ServiceCall call = ServiceCall.of("registrations", "file", ScriptedServer.bytes("{}"));
    server
        .then(exchange -> exchange.respond(500, Map.of(), ScriptedServer.bytes("failed")))
        .then(exchange -> exchange.respond(500, Map.of(), ScriptedServer.bytes("failed")))
        .then(exchange -> exchange.respond(200, Map.of(), ScriptedServer.bytes("filed")));
    assertThat(client.call(call).join().text()).isEqualTo("failed");
    assertThat(client.call(call).join().text()).isEqualTo("filed");
    assertThat(server.posts())
        .extracting(ScriptedServer.Post::id)
        .containsExactly("ticket1.1", "ticket1.2", "ticket1.2");
  }

  /** Guards against the copy of a refusal that has the id of the request under way. */
  @Test
  void noIdIsSentTwiceOnOneConnection() {
    for (int i = 0; i < 20; i++) {
      server
          .then(ScriptedServer.problem(503, "no", Map.of("retry-after", "0")))
          .then(ScriptedServer.problem(503, "unknown", Map.of()))
          .then(ScriptedServer.misdirected(server.address()))
          .then(exchange -> exchange.respond(429, Map.of(), new byte[0]))
          .then(ScriptedServer.events(1, 2, false, true))
          .then(ScriptedServer.events(3, 3, true, false));
    }
    for (int i = 0; i < 5; i++) {
      client.chat(CHAT).join();
    }
    assertThat(server.posts()).hasSizeGreaterThan(20);
    assertThat(server.posts())
        .extracting(post -> post.id() + " on connection " + post.connection())
        .doesNotHaveDuplicates();
    assertThat(server.posts().stream().map(ScriptedServer.Post::connection).distinct())
        .as("connections, of which some are reused")
        .hasSizeLessThan(server.posts().size());
  }

  @Test
  void resumesInterruptedStreamWithTheSameId() {
    server
        .then(ScriptedServer.events(1, 3, false, true))
        .then(ScriptedServer.events(3, 5, true, false));
    Response response = client.chat(CHAT, listener).join();
    assertThat(response.text()).isEqualTo("t1 t2 t3 t4 t5 ").isEqualTo(receivedText.toString());
    assertThat(server.posts()).extracting(ScriptedServer.Post::id).containsOnly("ticket1.1");
    assertThat(server.posts().get(1).lastEventId()).isEqualTo("3");
  }

  private static HttpHandler error(int status, String type, String body) {
    return exchange ->
        exchange.respond(status, Map.of("content-type", type), ScriptedServer.bytes(body));
  }

  /** Guards against an error in place of the rest of a stream that becomes part of its text. */
  @Test
  void errorInPlaceOfTheRestIsNoPartOfAStream() {
    String events = "id: 3\ndata: {\"choices\":[{\"delta\":{\"content\":\"failed\"}}]}\n\n";
    String done = "id: 4\ndata: [DONE]\n\n";
    List<HttpHandler> errors =
        List.of(
            error(500, "text/event-stream", events + done),
            error(500, "text/event-stream", "data: failed\n\n"),
            error(429, "text/plain", "failed"),
            error(502, "text/plain", ""),
            error(200, "application/json", "{\"error\":\"failed\"}"),
            error(200, "application/json", ""),
            error(200, "text/event-stream", "failed\n\n"),
            error(200, "text/event-stream", "data: {\"error\":\"failed\"}\n\n"));
    for (HttpHandler error : errors) {
      receivedText.setLength(0);
      server
          .then(ScriptedServer.events(1, 2, false, true))
          .then(error)
          .then(ScriptedServer.events(3, 4, true, false));
      Response response = client.chat(CHAT, listener).join();
      assertThat(response.text()).isEqualTo("t1 t2 t3 t4 ").isEqualTo(receivedText.toString());
      assertThat(response.status()).isEqualTo(200);
    }
  }

  @Test
  void resumesInactiveStream() {
    server
        .then(ScriptedServer.events(1, 2, false, false))
        .then(ScriptedServer.events(3, 4, true, false));
    assertThat(client.chat(CHAT, listener).join().text()).isEqualTo("t1 t2 t3 t4 ");
    assertThat(server.posts().get(1).lastEventId()).isEqualTo("2");
  }

  @Test
  void requestsMissingEventsAgain() {
    server
        .then(ScriptedServer.events(1, 2, false, true))
        .then(ScriptedServer.events(4, 5, true, false))
        .then(ScriptedServer.events(3, 5, true, false));
    assertThat(client.chat(CHAT, listener).join().text()).isEqualTo("t1 t2 t3 t4 t5 ");
    assertThat(server.posts().get(2).lastEventId()).isEqualTo("2");
  }

  @Test
  void streamWithoutEndMarkerIsNotComplete() {
    for (int i = 0; i < 50; i++) {
      server.then(
          exchange -> {
            ScriptedServer.events(1, 2, false, false).handle(exchange);
          });
    }
    DeadlineExceededException failure =
        failure(within(Duration.ofSeconds(1)), DeadlineExceededException.class);
    assertThat(failure.executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
  }

  @Test
  void usesNewIdOnlyAfterNotExecuted() {
    server
        .then(ScriptedServer.problem(503, "no", Map.of("retry-after", "0")))
        .then(exchange -> exchange.respond(502, Map.of(), new byte[0]))
        .then(ScriptedServer.events(1, 1, true, false));
    Response response = client.chat(CHAT, listener).join();
    assertThat(server.posts())
        .extracting(ScriptedServer.Post::id)
        .containsExactly("ticket1.1", "ticket2.1", "ticket2.1");
    assertThat(notExecuted).containsExactly("ticket1.1");
    assertThat(response.attemptCounts()).isEqualTo(new AttemptCounts(2, 3));
  }

  @Test
  void reportsRejectionThatIsNotRetryable() {
    server.then(ScriptedServer.problem(422, "no", Map.of()));
    NotExecutedException failure = failure(CHAT, NotExecutedException.class);
    assertThat(failure.status()).isEqualTo(422);
    assertThat(server.posts()).hasSize(1);
  }

  @Test
  void doesNotRetryUnknownOutcomeAfterTheTimeout() {
    server.then(ScriptedServer.problem(504, "unknown", Map.of()));
    failure(CHAT, OutcomeUnknownException.class);
    assertThat(server.posts()).hasSize(1);
  }

  @Test
  void retriesUnknownOutcomeWithTheSameId() {
    server
        .then(ScriptedServer.problem(504, "unknown", Map.of()))
        .then(ScriptedServer.problem(504, "unknown", Map.of()))
        .then(ScriptedServer.events(1, 1, true, false));
    client = client(Duration.ofSeconds(30));
    assertThat(client.chat(CHAT, listener).join().requestId()).isEqualTo("ticket1.1");
    assertThat(server.posts()).extracting(ScriptedServer.Post::id).containsOnly("ticket1.1");
  }

  @Test
  void retriesWhileRequestRunsOrHostIsNotReady() {
    server
        .then(ScriptedServer.problem(202, "yes", Map.of()))
        .then(ScriptedServer.problem(503, "unknown", Map.of()))
        .then(ScriptedServer.events(1, 1, true, false));
    assertThat(client.chat(CHAT, listener).join().requestId()).isEqualTo("ticket1.1");
    assertThat(server.posts()).extracting(ScriptedServer.Post::id).containsOnly("ticket1.1");
  }

  @Test
  void reportsUnknownOutcomeIfNotExecutedContradictsPartOfTheResponse() {
    server
        .then(ScriptedServer.events(1, 2, false, true))
        .then(ScriptedServer.problem(503, "no", Map.of()));
    failure(CHAT, OutcomeUnknownException.class);
    assertThat(notExecuted).isEmpty();
  }

  @Test
  void handlesProblemDocumentInStream() {
    server.then(ScriptedServer.problemEvent(504, "unknown"));
    assertThat(failure(CHAT, OutcomeUnknownException.class).status()).isEqualTo(504);
  }

  @Test
  void followsRedirectWithTheSameId() {
    ScriptedServer otherServer = new ScriptedServer(group);
    otherServer.then(ScriptedServer.events(1, 1, true, false));
    server.then(ScriptedServer.misdirected(otherServer.address()));
    assertThat(client.chat(CHAT, listener).join().requestId()).isEqualTo("ticket1.1");
    assertThat(otherServer.posts())
        .extracting(ScriptedServer.Post::id)
        .containsExactly("ticket1.1");
    otherServer.stop();
  }

  @Test
  void triesTheNextAddressIfTheFirstIsUnreachable() {
    ScriptedServer unreachable = new ScriptedServer(group);
    unreachable.stop();
    server
        .addresses(unreachable.address(), server.address())
        .then(ScriptedServer.events(1, 1, true, false));
    assertThat(client.chat(CHAT, listener).join().requestId()).isEqualTo("ticket1.1");
  }

  /** Guards against a silent host that each request tries first, twice, however many it failed. */
  @Test
  void requestsAvoidTheHostThatDidNotAnswerTheLastOnes() {
    ScriptedServer silent = new ScriptedServer(group);
    server.addresses(silent.address(), server.address());
    for (int i = 0; i < 5; i++) {
      for (int attempt = 0; attempt < 2; attempt++) {
        silent.then(exchange -> {});
      }
      server.then(ScriptedServer.events(1, 1, true, false));
      client.chat(CHAT).join();
    }
    assertThat(silent.posts()).hasSizeLessThanOrEqualTo(4);
    silent.stop();
  }

  /** Guards against a host that counts as silent because its response takes long. */
  @Test
  void hostThatHoldsTheRequestIsNotAvoided() {
    ScriptedServer slow = new ScriptedServer(group);
    server
        .addresses(slow.address(), server.address())
        .then(ScriptedServer.misdirected(slow.address()));
    CompletableFuture<Void> redirected = new CompletableFuture<>();
    HttpHandler slowToFirst =
        exchange -> {
          if (!String.valueOf(exchange.header("idempotency-key")).equals("ticket1.1")) {
            ScriptedServer.events(1, 1, true, false).handle(exchange);
          } else if (!server.posts().isEmpty()) {
            redirected.complete(null);
          }
        };
    for (int i = 0; i < 20; i++) {
      slow.then(slowToFirst);
    }
    CompletableFuture<Response> first = client.chat(CHAT);
    redirected.join();
    assertThat(client.chat(CHAT).join().attemptCounts()).isEqualTo(new AttemptCounts(1, 1));
    assertThat(server.posts()).extracting(ScriptedServer.Post::id).containsExactly("ticket1.1");
    first.cancel(false);
    slow.stop();
  }

  @Test
  void reportsNotExecutedIfNoConnectionWasEstablished() {
    ScriptedServer unreachable = new ScriptedServer(group);
    unreachable.stop();
    server.addresses(unreachable.address());
    DeadlineExceededException failure =
        failure(within(Duration.ofMillis(500)), DeadlineExceededException.class);
    assertThat(failure.executionStatus()).isEqualTo(ExecutionStatus.NOT_EXECUTED);
  }

  @Test
  void returnsAnyStatusOfPlainService() {
    server.then(exchange -> exchange.respond(409, Map.of(), ScriptedServer.bytes("taken")));
    ServiceCall call = ServiceCall.of("registrations", "file", ScriptedServer.bytes("{}"));
    Response response = client.call(call).join();
    assertThat(response.status()).isEqualTo(409);
    assertThat(response.text()).isEqualTo("taken");
    assertThat(server.posts().get(0).path()).isEqualTo("/v1/services/registrations/file");
  }
}
