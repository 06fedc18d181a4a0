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

/** The state of the running scenario: its environment, request and response. */
final class ScenarioContext {

  static final String PROMPT = "describe the sealant of the north wall";
  static final String CALL = "{\"sheet\":17}";
  static final int TOKENS = 60;

  private static @Nullable ScenarioContext current;

  private final TestEnvironment environment;
  private final Map<String, CompletableFuture<HttpResponse>> batch = new LinkedHashMap<>();
  private String customer = TestConfiguration.ALPHA;
  private String ticket = "";
  private boolean isChat;
  private @Nullable CompletableFuture<HttpResponse> firstResponse;
  private @Nullable HttpResponse response;

  private ScenarioContext(TestEnvironment environment) {
    this.environment = environment;
  }

  static void begin(TestEnvironment environment) {
    current = new ScenarioContext(environment);
  }

  static ScenarioContext current() {
    ScenarioContext scenario = current;
    if (scenario == null) {
      throw new IllegalStateException("no cluster was started in this scenario");
    }
    return scenario;
  }

  static void end() throws Exception {
    ScenarioContext scenario = current;
    current = null;
    if (scenario != null) {
      scenario.environment.close();
    }
  }

  TestEnvironment environment() {
    return environment;
  }

  String id() {
    return ticket + ".1";
  }

  String customer() {
    return customer;
  }

  void newTicket(String service) {
    String host = environment.hosts().iterator().next();
    ticket = environment.cluster().ticket(host, customer, service);
  }

  /** Returns the running hosts. */
  List<String> running() {
    return environment.hosts().stream().filter(host -> !environment.isStopped(host)).toList();
  }

  List<String> chain() {
    return environment.chain(ticket);
  }

  boolean isChat() {
    return isChat;
  }

  /** Sends the first attempt of a chat request. */
  void sendChat(String host) {
    isChat = true;
    firstResponse = post(host, Map.of());
  }

  /** Sends the first attempt of a call to the plain service. */
  void sendCall(String host) {
    isChat = false;
    firstResponse = post(host, Map.of());
  }

  void prepareChat() {
    isChat = true;
    newTicket(TestConfiguration.CHAT);
  }

  void prepareCall() {
    isChat = false;
    newTicket(TestConfiguration.FILING);
  }

  /** Sends the request under several ids of its ticket. */
  void sendBatch(int count, String host) {
    for (int i = 1; i <= count; i++) {
      String id = ticket + "." + i;
      batch.put(id, post(id, host, Map.of()));
    }
  }

  Map<String, CompletableFuture<HttpResponse>> batch() {
    return batch;
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
                environment.cluster().callerAddress(host),
                path,
                body.getBytes(StandardCharsets.UTF_8))
            .header("authorization", TestCluster.bearer(customer))
            .header("idempotency-key", id)
            .timeout(TestCluster.WAIT_LIMIT);
    headers.forEach(request::header);
    return environment.cluster().client().send(request.build());
  }

  /** Returns the number of times that the request was executed. */
  long executions() {
    return isChat ? environment.executions(id()) : environment.effects(id());
  }

  CompletableFuture<HttpResponse> firstResponse() {
    CompletableFuture<HttpResponse> sent = firstResponse;
    if (sent == null) {
      throw new IllegalStateException("no request was sent in this scenario");
    }
    return sent;
  }

  void response(HttpResponse response) {
    this.response = response;
  }

  HttpResponse response() {
    HttpResponse known = response;
    if (known == null) {
      throw new IllegalStateException("no response was received in this scenario");
    }
    return known;
  }
}
