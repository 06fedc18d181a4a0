package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.RawServer;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An endpoint that repeats the refusal of a request when the request is sent again. */
class RepeatedRefusalTest extends GatewayHarness {

  private static final String ID_HEADER = "X-Samphiredyke-Request-Id: ";

  private static final int REQUESTS = 20;

  private final AtomicInteger runs = new AtomicInteger();
  private final Set<String> refused = ConcurrentHashMap.newKeySet();
  private final Map<Socket, String> repeated = new ConcurrentHashMap<>();
  private volatile boolean refusalsStateId;
  private volatile String retryAfter = "Retry-After: 0.05\r\n";

  /**
   * Refuses each request once, but only every other one if refusals state no id; repeats the last
   * refusal of the connection before it responds.
   */
  private void respond(String id, Socket socket) throws IOException {
    boolean refuses = refused.add(id) && (refusalsStateId || refused.size() % 2 == 1);
    String response = refuses ? refusal(id) : run(id);
    RawServer.write(socket, repeated.getOrDefault(socket, "") + response);
    if (response.startsWith("HTTP/1.1 503")) {
      repeated.put(socket, response);
    } else {
      repeated.remove(socket);
    }
  }

  private String refusal(String id) {
    return "HTTP/1.1 503 Full\r\nX-Samphiredyke-Not-Executed: 1\r\n"
        + retryAfter
        + (refusalsStateId ? ID_HEADER + id + "\r\n" : "")
        + "Content-Length: 0\r\n\r\n";
  }

  private String run(String id) {
    runs.incrementAndGet();
    return "HTTP/1.1 200 OK\r\nX-Samphiredyke-Server-Signature: s\r\n"
        + ID_HEADER
        + id
        + "\r\nContent-Length: 2\r\n\r\nok";
  }

  /** Guards against a late copy of a refusal that is taken for the answer to the next attempt. */
  @ParameterizedTest
  @ValueSource(strings = {"/unsafe/x", "/safe/x"})
  void copyOfRefusalIsNotTheAnswerToTheNextAttempt(String path) throws IOException {
    refusalsStateId = true;
    eachRequestRunsOnce(path);
  }

  /** Guards against a copy of a refusal without id that is taken for that of the next request. */
  @ParameterizedTest
  @ValueSource(strings = {"/unsafe/x", "/safe/x"})
  void copyOfRefusalWithoutIdIsNotTheAnswerToTheNextRequest(String path) throws IOException {
    eachRequestRunsOnce(path);
    assertThat(logged("response_without_id")).isTrue();
  }

  /** Guards against a late copy of a refusal that is taken for the answer to a caller's retry. */
  @ParameterizedTest
  @ValueSource(strings = {"/unsafe/x", "/safe/x"})
  void copyOfRefusalIsNotTheAnswerToTheCallersRetry(String path) throws IOException {
    refusalsStateId = true;
    retryAfter = "";
    RunningGateway running = startWithRawEndpoint();
    for (int i = 1; i <= REQUESTS; i++) {
      HttpRequest request = request(running, path).build();
      assertThat(send(request).statusCode()).as("refused request %d", i).isEqualTo(503);
      assertThat(send(request).statusCode()).as("retried request %d", i).isEqualTo(200);
      assertThat(runs).as("runs of %d requests", i).hasValue(i);
    }
  }

  private RunningGateway startWithRawEndpoint() throws IOException {
    register("draining", plainEndpoints);
    store.put(
        StoreClient.ENDPOINT_TOPIC,
        "p-raw",
        plainEndpoints
            .get(0)
            .entry("ready")
            .replaceFirst("127\\.0\\.0\\.1:\\d+", RawServer.start(this::respond).address()));
    return startConfiguredGateway();
  }

  private void eachRequestRunsOnce(String path) throws IOException {
    RunningGateway running = startWithRawEndpoint();
    for (int i = 1; i <= REQUESTS; i++) {
      assertThat(send(request(running, path).build()).statusCode()).isEqualTo(200);
      assertThat(runs).as("runs of %d requests", i).hasValue(i);
    }
  }
}
