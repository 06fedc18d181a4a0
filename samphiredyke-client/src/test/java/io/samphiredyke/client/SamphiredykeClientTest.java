package io.samphiredyke.client;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SamphiredykeClientTest {

  private static final ChatRequest CHAT =
      ChatRequest.builder("coverage").message(ChatMessage.user("covered?")).build();
  private static final Duration SILENCE = Duration.ofMillis(300);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<String> notRun = new ArrayList<>();
  private final StringBuilder heard = new StringBuilder();
  private final ResponseListener listener =
      new ResponseListener() {
        @Override
        public void onNotExecuted(String id) {
          notRun.add(id);
        }

        @Override
        public void onText(long offset, String text) {
          heard.append(text);
        }
      };
  private ScriptedEntry entry;
  private SamphiredykeClient client;

  @BeforeEach
  void start() {
    entry = new ScriptedEntry(group);
    client = client(Duration.ZERO);
  }

  private SamphiredykeClient client(Duration unknownPatience) {
    ClientOptions options =
        ClientOptions.defaults()
            .withInactivityTimeout(SILENCE)
            .withUnknownOutcomeTimeout(unknownPatience);
    return SamphiredykeClient.builder()
        .group(group)
        .customerKey("key")
        .seeds(List.of(entry.address()))
        .options(options)
        .build();
  }

  @AfterEach
  void stop() {
    client.close();
    entry.stop();
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
  void streamsWholeAnswer() {
    entry.then(ScriptedEntry.events(1, 3, true, false));
    Response answer = client.chat(CHAT, listener).join();
    assertThat(answer.text()).isEqualTo("t1 t2 t3 ").isEqualTo(heard.toString());
    assertThat(answer.requestId()).isEqualTo("ticket1.1");
    assertThat(answer.attemptCounts()).isEqualTo(new AttemptCounts(1, 1));
  }

  @Test
  void resumesCutStreamUnderTheSameId() {
    entry
        .then(ScriptedEntry.events(1, 3, false, true))
        .then(ScriptedEntry.events(3, 5, true, false));
    Response answer = client.chat(CHAT, listener).join();
    assertThat(answer.text()).isEqualTo("t1 t2 t3 t4 t5 ").isEqualTo(heard.toString());
    assertThat(entry.posts()).extracting(ScriptedEntry.Post::id).containsOnly("ticket1.1");
    assertThat(entry.posts().get(1).lastEventId()).isEqualTo("3");
  }

  @Test
  void resumesSilentStream() {
    entry
        .then(ScriptedEntry.events(1, 2, false, false))
        .then(ScriptedEntry.events(3, 4, true, false));
    assertThat(client.chat(CHAT, listener).join().text()).isEqualTo("t1 t2 t3 t4 ");
    assertThat(entry.posts().get(1).lastEventId()).isEqualTo("2");
  }

  @Test
  void asksAgainForTheEventsOfGap() {
    entry
        .then(ScriptedEntry.events(1, 2, false, true))
        .then(ScriptedEntry.events(4, 5, true, false))
        .then(ScriptedEntry.events(3, 5, true, false));
    assertThat(client.chat(CHAT, listener).join().text()).isEqualTo("t1 t2 t3 t4 t5 ");
    assertThat(entry.posts().get(2).lastEventId()).isEqualTo("2");
  }

  @Test
  void takesNoStreamWithoutItsEndForWhole() {
    for (int i = 0; i < 50; i++) {
      entry.then(
          exchange -> {
            ScriptedEntry.events(1, 2, false, false).handle(exchange);
          });
    }
    DeadlineExceededException failure =
        failure(within(Duration.ofSeconds(1)), DeadlineExceededException.class);
    assertThat(failure.executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
  }

  @Test
  void takesNewIdOnlyAfterNotRun() {
    entry
        .then(ScriptedEntry.problem(503, "no", Map.of("retry-after", "0")))
        .then(exchange -> exchange.respond(502, Map.of(), new byte[0]))
        .then(ScriptedEntry.events(1, 1, true, false));
    Response answer = client.chat(CHAT, listener).join();
    assertThat(entry.posts())
        .extracting(ScriptedEntry.Post::id)
        .containsExactly("ticket1.1", "ticket2.1", "ticket2.1");
    assertThat(notRun).containsExactly("ticket1.1");
    assertThat(answer.attemptCounts()).isEqualTo(new AttemptCounts(2, 3));
  }

  @Test
  void reportsRefusalThatRetryCannotMend() {
    entry.then(ScriptedEntry.problem(422, "no", Map.of()));
    NotExecutedException failure = failure(CHAT, NotExecutedException.class);
    assertThat(failure.status()).isEqualTo(422);
    assertThat(entry.posts()).hasSize(1);
  }

  @Test
  void neverRepeatsRequestOfUnknownOutcome() {
    entry.then(ScriptedEntry.problem(504, "unknown", Map.of()));
    failure(CHAT, OutcomeUnknownException.class);
    assertThat(entry.posts()).hasSize(1);
  }

  @Test
  void asksAgainForUnknownOutcomeUnderTheSameId() {
    entry
        .then(ScriptedEntry.problem(504, "unknown", Map.of()))
        .then(ScriptedEntry.problem(504, "unknown", Map.of()))
        .then(ScriptedEntry.events(1, 1, true, false));
    client = client(Duration.ofSeconds(30));
    assertThat(client.chat(CHAT, listener).join().requestId()).isEqualTo("ticket1.1");
    assertThat(entry.posts()).extracting(ScriptedEntry.Post::id).containsOnly("ticket1.1");
  }

  @Test
  void asksAgainWhileRequestRunsOrHostIsNotReady() {
    entry
        .then(ScriptedEntry.problem(202, "yes", Map.of()))
        .then(ScriptedEntry.problem(503, "unknown", Map.of()))
        .then(ScriptedEntry.events(1, 1, true, false));
    assertThat(client.chat(CHAT, listener).join().requestId()).isEqualTo("ticket1.1");
    assertThat(entry.posts()).extracting(ScriptedEntry.Post::id).containsOnly("ticket1.1");
  }

  @Test
  void doesNotBelieveNotRunAfterPartOfTheAnswer() {
    entry
        .then(ScriptedEntry.events(1, 2, false, true))
        .then(ScriptedEntry.problem(503, "no", Map.of()));
    failure(CHAT, OutcomeUnknownException.class);
    assertThat(notRun).isEmpty();
  }

  @Test
  void readsProblemWithinStream() {
    entry.then(ScriptedEntry.problemEvent(504, "unknown"));
    assertThat(failure(CHAT, OutcomeUnknownException.class).status()).isEqualTo(504);
  }

  @Test
  void followsMisdirectedRequestUnderTheSameId() {
    ScriptedEntry other = new ScriptedEntry(group);
    other.then(ScriptedEntry.events(1, 1, true, false));
    entry.then(ScriptedEntry.misdirected(other.address()));
    assertThat(client.chat(CHAT, listener).join().requestId()).isEqualTo("ticket1.1");
    assertThat(other.posts()).extracting(ScriptedEntry.Post::id).containsExactly("ticket1.1");
    other.stop();
  }

  @Test
  void goesToTheNextAddressWhenTheFirstIsDown() {
    ScriptedEntry down = new ScriptedEntry(group);
    down.stop();
    entry.addresses(down.address(), entry.address()).then(ScriptedEntry.events(1, 1, true, false));
    assertThat(client.chat(CHAT, listener).join().requestId()).isEqualTo("ticket1.1");
  }

  @Test
  void knowsThatNothingRanWhenNoConnectionWasMade() {
    ScriptedEntry down = new ScriptedEntry(group);
    down.stop();
    entry.addresses(down.address());
    DeadlineExceededException failure =
        failure(within(Duration.ofMillis(500)), DeadlineExceededException.class);
    assertThat(failure.executionStatus()).isEqualTo(ExecutionStatus.NOT_EXECUTED);
  }

  @Test
  void returnsWhateverPlainServiceAnswers() {
    entry.then(exchange -> exchange.respond(409, Map.of(), ScriptedEntry.bytes("taken")));
    ServiceCall call = ServiceCall.of("registrations", "file", ScriptedEntry.bytes("{}"));
    Response answer = client.call(call).join();
    assertThat(answer.status()).isEqualTo(409);
    assertThat(answer.text()).isEqualTo("taken");
    assertThat(entry.posts().get(0).path()).isEqualTo("/v1/services/registrations/file");
  }
}
