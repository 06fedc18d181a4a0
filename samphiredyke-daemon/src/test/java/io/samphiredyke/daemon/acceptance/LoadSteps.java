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

/** Steps with clients that use the client library. */
public final class LoadSteps {

  private static final int CLIENTS = 3;
  private static final int TOKENS = 20;
  private static final long DRAIN_LIMIT_SECONDS = 60;

  private final Queue<Response> chats = new ConcurrentLinkedQueue<>();
  private final Queue<Response> calls = new ConcurrentLinkedQueue<>();
  private final Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
  private final List<CompletableFuture<Void>> loops = new ArrayList<>();
  private CompletableFuture<Response> singleResponse;
  private volatile boolean isLoadOver;

  private static SamphiredykeClient client() {
    TestEnvironment environment = ScenarioContext.current().environment();
    SamphiredykeClient client =
        SamphiredykeClient.builder()
            .group(environment.cluster().group())
            .customerKey(TestConfiguration.keyOf(TestConfiguration.ALPHA))
            .seeds(environment.advertisedAddresses())
            .build();
    return environment.closeAtEnd(client);
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

  /** Starts clients that send one request after the other until the load ends. */
  @Given("clients that send chat requests and registrations continuously")
  public void startLoad() {
    for (int i = 0; i < CLIENTS; i++) {
      SamphiredykeClient client = client();
      loops.add(chatLoop(client));
      loops.add(callLoop(client));
    }
  }

  private CompletableFuture<Void> chatLoop(SamphiredykeClient client) {
    return client
        .chat(chat(TOKENS))
        .handle((response, failure) -> recordResult(response, failure, chats))
        .thenCompose(
            done -> isLoadOver ? CompletableFuture.completedFuture(null) : chatLoop(client));
  }

  private CompletableFuture<Void> callLoop(SamphiredykeClient client) {
    return client
        .call(call())
        .handle((response, failure) -> recordResult(response, failure, calls))
        .thenCompose(
            done -> isLoadOver ? CompletableFuture.completedFuture(null) : callLoop(client));
  }

  private Void recordResult(Response response, Throwable failure, Queue<Response> responses) {
    if (failure == null) {
      responses.add(response);
    } else {
      failures.add(failure);
    }
    return null;
  }

  /** Drains and restarts one host after the other. */
  @When("each host in turn is drained and restarted")
  public void drainAll() {
    TestEnvironment environment = ScenarioContext.current().environment();
    for (String host : environment.hosts()) {
      environment
          .cluster()
          .daemon(host)
          .drain()
          .orTimeout(DRAIN_LIMIT_SECONDS, TimeUnit.SECONDS)
          .join();
      environment.restart(host);
    }
  }

  /** Ends the load and asserts all responses and the executions that the endpoints counted. */
  @Then("every request of the clients received a complete response and was executed exactly once")
  public void assertAllExecutedOnce() {
    isLoadOver = true;
    loops.forEach(loop -> loop.orTimeout(DRAIN_LIMIT_SECONDS, TimeUnit.SECONDS).join());
    TestEnvironment environment = ScenarioContext.current().environment();
    assertThat(failures).isEmpty();
    assertThat(chats).hasSizeGreaterThan(CLIENTS);
    assertThat(calls).hasSizeGreaterThan(CLIENTS);
    for (Response response : chats) {
      ResponseAssertions.assertCompleteText(
          response.text(), response.requestId(), ScenarioContext.PROMPT);
      assertThat(environment.executions(response.requestId())).isEqualTo(1);
    }
    for (Response response : calls) {
      assertThat(response.status()).isEqualTo(200);
      assertThat(environment.effects(response.requestId())).isEqualTo(1);
    }
  }

  /** Sends one chat request without waiting for the response. */
  @Given("a client sends a chat request")
  public void sendOne() {
    singleResponse = client().chat(chat(ScenarioContext.TOKENS));
  }

  /** Sends one chat request and waits for the response. */
  @Given("a client has received a response")
  public void awaitOneResponse() {
    TestCluster.join(client().chat(chat(ScenarioContext.TOKENS)));
  }

  /** Waits until the engine executes a request. */
  @Given("the engine has started to process the request")
  public void awaitExecution() {
    TestCluster.await("the engine to execute a request", () -> executions() == 1);
  }

  private static long executions() {
    TestEnvironment environment = ScenarioContext.current().environment();
    return environment
        .counts(environment.cluster().engine().address())
        .path("total")
        .path("executions")
        .asLong();
  }

  /** Stalls the proxied connections between callers and hosts. */
  @When("the open connections between callers and hosts stall")
  public void stallCallerConnections() {
    ScenarioContext.current()
        .environment()
        .callerProxies()
        .forEach(NetworkProxy::stallOpenConnections);
  }

  /** Stalls the proxied connections between hosts. */
  @When("the open connections between hosts stall")
  public void stallPeerConnections() {
    ScenarioContext.current()
        .environment()
        .peerProxies()
        .forEach(NetworkProxy::stallOpenConnections);
  }

  /** Asserts the response to the single request and its execution. */
  @Then("the client receives the complete response, and the request was executed exactly once")
  public void assertCompleteResponse() {
    TestEnvironment environment = ScenarioContext.current().environment();
    Response response = TestCluster.join(singleResponse);
    ResponseAssertions.assertCompleteText(
        response.text(), response.requestId(), ScenarioContext.PROMPT);
    assertThat(environment.executions(response.requestId())).isEqualTo(1);
  }
}
