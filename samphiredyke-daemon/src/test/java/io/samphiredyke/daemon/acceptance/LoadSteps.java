package io.samphiredyke.daemon.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.samphiredyke.client.ChatMessage;
import io.samphiredyke.client.ChatRequest;
import io.samphiredyke.client.Response;
import io.samphiredyke.client.SamphiredykeClient;
import io.samphiredyke.client.ServiceCall;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.daemon.testing.TestConfiguration;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** Steps of clients that use the caller library. */
public final class LoadSteps {

  private static final int CLIENTS = 3;
  private static final int TOKENS = 20;
  private static final long DRAIN_LIMIT_SECONDS = 60;

  private final Queue<Response> chats = new ConcurrentLinkedQueue<>();
  private final Queue<Response> calls = new ConcurrentLinkedQueue<>();
  private final Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
  private final List<CompletableFuture<Void>> loops = new ArrayList<>();
  private CompletableFuture<Response> single;
  private volatile boolean isOver;

  private static SamphiredykeClient client() {
    TestEnvironment world = ScenarioContext.current().world();
    SamphiredykeClient client =
        SamphiredykeClient.builder()
            .group(world.cluster().group())
            .customerKey(TestConfiguration.keyOf(TestConfiguration.ALPHA))
            .seeds(world.advertised())
            .build();
    return world.closeAtEnd(client);
  }

  private static ChatRequest chat(int tokens) {
    return ChatRequest.builder(TestConfiguration.CHAT)
        .message(new ChatMessage("user", ScenarioContext.PROMPT))
        .maxTokens(tokens)
        .build();
  }

  private static ServiceCall call() {
    byte[] body = ScenarioContext.CALL.getBytes(StandardCharsets.UTF_8);
    return ServiceCall.of(TestConfiguration.FILING, "register", body);
  }

  /** Starts clients that send one request after the other. */
  @Given("clients that send chat requests and registrations all the time")
  public void load() {
    for (int i = 0; i < CLIENTS; i++) {
      SamphiredykeClient client = client();
      loops.add(chatLoop(client));
      loops.add(callLoop(client));
    }
  }

  private CompletableFuture<Void> chatLoop(SamphiredykeClient client) {
    return client
        .chat(chat(TOKENS))
        .handle((answer, failure) -> note(answer, failure, chats))
        .thenCompose(done -> isOver ? CompletableFuture.completedFuture(null) : chatLoop(client));
  }

  private CompletableFuture<Void> callLoop(SamphiredykeClient client) {
    return client
        .call(call())
        .handle((answer, failure) -> note(answer, failure, calls))
        .thenCompose(done -> isOver ? CompletableFuture.completedFuture(null) : callLoop(client));
  }

  private Void note(Response answer, Throwable failure, Queue<Response> answers) {
    if (failure == null) {
      answers.add(answer);
    } else {
      failures.add(failure);
    }
    return null;
  }

  /** Drains all hosts. */
  @When("each host in turn is drained and started again")
  public void drainAll() {
    TestEnvironment world = ScenarioContext.current().world();
    for (String host : world.hosts()) {
      world.cluster().daemon(host).drain().orTimeout(DRAIN_LIMIT_SECONDS, TimeUnit.SECONDS).join();
      world.restart(host);
    }
  }

  /** Ends the load and checks all answers and the endpoints' counts. */
  @Then("every request of the clients was answered whole and ran once")
  public void allAnswered() {
    isOver = true;
    loops.forEach(loop -> loop.orTimeout(DRAIN_LIMIT_SECONDS, TimeUnit.SECONDS).join());
    TestEnvironment world = ScenarioContext.current().world();
    assertThat(failures).isEmpty();
    assertThat(chats).hasSizeGreaterThan(CLIENTS);
    assertThat(calls).hasSizeGreaterThan(CLIENTS);
    for (Response answer : chats) {
      ResponseAssertions.isText(answer.text(), answer.requestId(), ScenarioContext.PROMPT);
      assertThat(world.executions(answer.requestId())).isEqualTo(1);
    }
    for (Response answer : calls) {
      assertThat(answer.status()).isEqualTo(200);
      assertThat(world.effects(answer.requestId())).isEqualTo(1);
    }
  }

  /** Sends one chat request and doesn't wait. */
  @Given("a client sends a chat request")
  public void sendOne() {
    single = client().chat(chat(ScenarioContext.TOKENS));
  }

  /** Sends one chat request and waits. */
  @Given("a client has got an answer")
  public void answered() {
    TestCluster.join(client().chat(chat(ScenarioContext.TOKENS)));
  }

  /** Waits for the engine to execute something. */
  @Given("the engine has begun to work on it")
  public void begun() {
    TestCluster.await("the engine works", () -> executions() == 1);
  }

  private static long executions() {
    TestEnvironment world = ScenarioContext.current().world();
    return world
        .counts(world.cluster().engine().address())
        .path("total")
        .path("executions")
        .asLong();
  }

  /** Makes the links to the hosts' addresses for callers silent. */
  @When("the open connections between callers and hosts go silent")
  public void silenceCallers() {
    ScenarioContext.current().world().callerLinks().forEach(NetworkProxy::silenceOpenConnections);
  }

  /** Makes the links between hosts silent. */
  @When("the open connections between hosts go silent")
  public void silencePeers() {
    ScenarioContext.current().world().peerLinks().forEach(NetworkProxy::silenceOpenConnections);
  }

  /** Checks the one answer. */
  @Then("the client gets the whole answer, and the request ran once")
  public void whole() {
    TestEnvironment world = ScenarioContext.current().world();
    Response answer = TestCluster.join(single);
    ResponseAssertions.isText(answer.text(), answer.requestId(), ScenarioContext.PROMPT);
    assertThat(world.executions(answer.requestId())).isEqualTo(1);
  }
}
