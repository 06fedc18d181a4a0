package io.samphiredyke.daemon.acceptance;

import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.daemon.testing.TestConfiguration;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** The request that a scenario is about. */
final class ScenarioContext {

  static final String PROMPT = "describe the sealant of the north wall";
  static final String CALL = "{\"sheet\":17}";
  static final int TOKENS = 60;

  private static @Nullable ScenarioContext current;

  private final TestEnvironment world;
  private final Map<String, CompletableFuture<HttpResponse>> many = new LinkedHashMap<>();
  private String customer = TestConfiguration.ALPHA;
  private String ticket = "";
  private boolean isChat;
  private @Nullable CompletableFuture<HttpResponse> first;
  private @Nullable HttpResponse answer;

  private ScenarioContext(TestEnvironment world) {
    this.world = world;
  }

  static void begin(TestEnvironment world) {
    current = new ScenarioContext(world);
  }

  static ScenarioContext current() {
    ScenarioContext scenario = current;
    if (scenario == null) {
      throw new IllegalStateException("no hosts were started");
    }
    return scenario;
  }

  static void end() throws Exception {
    ScenarioContext scenario = current;
    current = null;
    if (scenario != null) {
      scenario.world.close();
    }
  }

  TestEnvironment world() {
    return world;
  }

  String id() {
    return ticket + ".1";
  }

  String customer() {
    return customer;
  }

  void newTicket(String service) {
    String host = world.hosts().iterator().next();
    ticket = world.cluster().ticket(host, customer, service);
  }

  /** Returns the hosts that run. */
  List<String> running() {
    return world.hosts().stream().filter(host -> !world.isStopped(host)).toList();
  }

  List<String> chain() {
    return world.chain(ticket);
  }

  boolean isChat() {
    return isChat;
  }

  /** Sends a chat request for the first time. */
  void sendChat(String host) {
    isChat = true;
    first = post(host, Map.of());
  }

  /** Sends a call to the plain service for the first time. */
  void sendCall(String host) {
    isChat = false;
    first = post(host, Map.of());
  }

  void chooseChat() {
    isChat = true;
    newTicket(TestConfiguration.CHAT);
  }

  void chooseCall() {
    isChat = false;
    newTicket(TestConfiguration.FILING);
  }

  /** Sends the request under many ids of its ticket. */
  void sendMany(int count, String host) {
    for (int i = 1; i <= count; i++) {
      String id = ticket + "." + i;
      many.put(id, post(id, host, Map.of()));
    }
  }

  Map<String, CompletableFuture<HttpResponse>> many() {
    return many;
  }

  /** Sends the request under its id to a host. */
  CompletableFuture<HttpResponse> post(String host, Map<String, String> headers) {
    return post(id(), host, headers);
  }

  private CompletableFuture<HttpResponse> post(
      String id, String host, Map<String, String> headers) {
    String path =
        isChat ? "/v1/chat/completions" : "/v1/services/" + TestConfiguration.FILING + "/register";
    String body = isChat ? TestCluster.chatBody(PROMPT, TOKENS, true) : CALL;
    HttpRequest.Builder request =
        HttpRequest.post(
                world.cluster().callerAddress(host), path, body.getBytes(StandardCharsets.UTF_8))
            .header("authorization", TestCluster.bearer(customer))
            .header("idempotency-key", id)
            .timeout(TestCluster.WAIT_LIMIT);
    headers.forEach(request::header);
    return world.cluster().client().send(request.build());
  }

  /** Returns how many times the request ran. */
  long runs() {
    return isChat ? world.executions(id()) : world.effects(id());
  }

  CompletableFuture<HttpResponse> first() {
    CompletableFuture<HttpResponse> sent = first;
    if (sent == null) {
      throw new IllegalStateException("nothing was sent");
    }
    return sent;
  }

  void answer(HttpResponse response) {
    answer = response;
  }

  HttpResponse answer() {
    HttpResponse known = answer;
    if (known == null) {
      throw new IllegalStateException("nothing was answered");
    }
    return known;
  }
}
