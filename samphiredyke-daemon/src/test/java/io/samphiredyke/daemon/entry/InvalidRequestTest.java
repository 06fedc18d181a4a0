package io.samphiredyke.daemon.entry;

import static io.samphiredyke.daemon.testing.TestCluster.chatBody;
import static io.samphiredyke.daemon.testing.TestCluster.join;
import static io.samphiredyke.daemon.testing.TestCluster.json;
import static io.samphiredyke.daemon.testing.TestConfiguration.ALPHA;
import static io.samphiredyke.daemon.testing.TestConfiguration.BETA;
import static io.samphiredyke.daemon.testing.TestConfiguration.CHAT;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.daemon.testing.TestConfiguration;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against malformed, forged and excessive requests. Each must be refused with a problem
 * document, and after each test a valid request must still be answered.
 */
class InvalidRequestTest {

  private static final String HOST = "host1";
  private static final String NOT_PERMITTED_HOST = "host2";
  private static final int FUZZED_REQUESTS = 200;
  private static final long SEED = 20_261_203L;

  private static TestCluster cluster;

  @BeforeAll
  static void start() {
    cluster =
        TestCluster.builder()
            .host(HOST, "dc1")
            .host(NOT_PERMITTED_HOST, "dc2")
            .permitted(java.util.Set.of("dc1"))
            .settings(settings -> settings.toBuilder().bodyLimit(100_000).build())
            .start();
  }

  @AfterAll
  static void stop() {
    cluster.close();
  }

  @AfterEach
  void answersNextValidRequest() {
    HttpResponse response = chat(ALPHA, chatBody("still there?", 4, false), Map.of());
    assertThat(response.status()).isEqualTo(200);
    assertThat(cluster.daemon(HOST).invariantViolations().values()).allMatch(count -> count == 0);
  }

  private static HttpResponse chat(String customer, String body, Map<String, String> headers) {
    return join(cluster.chat(HOST, customer, body, headers));
  }

  private static void assertProblem(HttpResponse response, int status, String ran) {
    assertThat(response.status()).isEqualTo(status);
    assertThat(json(response).path("status").asInt()).isEqualTo(status);
    assertThat(json(response).path("ran").asText()).isEqualTo(ran);
  }

  private static HttpResponse resume(String customer, String id) {
    return cluster.send(
        HttpRequest.get(cluster.callerAddress(HOST), "/v1/requests/" + id)
            .header("authorization", TestCluster.bearer(customer))
            .build());
  }

  @Test
  void refusesUnknownKeys() {
    HttpResponse response =
        cluster.send(
            HttpRequest.post(cluster.callerAddress(HOST), "/v1/chat/completions", new byte[0])
                .header("authorization", "Bearer key-of-nobody")
                .build());
    assertProblem(response, 401, "no");
  }

  @Test
  void refusesForgedTickets() {
    String ticket = cluster.ticket(HOST, ALPHA, CHAT);
    Random random = new Random(SEED);
    for (int i = 0; i < 20; i++) {
      int at = random.nextInt(ticket.length());
      char other = ticket.charAt(at) == 'A' ? 'B' : 'A';
      String forged = ticket.substring(0, at) + other + ticket.substring(at + 1);
      Map<String, String> id = Map.of("idempotency-key", forged + ".1");
      HttpResponse response = chat(ALPHA, chatBody("forged", 4, false), id);
      assertProblem(response, 400, "unknown");
    }
  }

  @Test
  void hidesRequestsOfOtherCustomers() {
    String id = cluster.ticket(HOST, ALPHA, CHAT) + ".1";
    String body = chatBody("mine", 4, false);
    assertThat(chat(ALPHA, body, Map.of("idempotency-key", id)).status()).isEqualTo(200);
    assertProblem(chat(BETA, body, Map.of("idempotency-key", id)), 404, "unknown");
    assertProblem(resume(BETA, id), 404, "unknown");
  }

  @Test
  void refusesDifferentBodyUnderSameId() {
    String id = cluster.ticket(HOST, ALPHA, CHAT) + ".1";
    Map<String, String> header = Map.of("idempotency-key", id);
    assertThat(chat(ALPHA, chatBody("one", 4, false), header).status()).isEqualTo(200);
    assertProblem(chat(ALPHA, chatBody("two", 4, false), header), 422, "unknown");
  }

  @Test
  void refusesOversizedBodiesAndHeads() {
    String longBody = chatBody("x".repeat(200_000), 4, false);
    assertProblem(chat(ALPHA, longBody, Map.of()), 413, "no");
    HttpResponse longHead = chat(ALPHA, "{}", Map.of("x-long", "y".repeat(100_000)));
    assertThat(longHead.status()).isEqualTo(431);
  }

  @Test
  void refusesInvalidChatCompletions() {
    assertProblem(chat(ALPHA, "{\"messages\":", Map.of()), 400, "no");
    assertProblem(chat(ALPHA, "[]", Map.of()), 400, "no");
    assertProblem(chat(ALPHA, "{\"messages\":{}}", Map.of()), 400, "no");
    String deep = "{\"messages\":" + "[".repeat(30_000) + "]".repeat(30_000) + "}";
    assertProblem(chat(ALPHA, deep, Map.of()), 400, "no");
  }

  @Test
  void refusesMalformedPaths() throws IOException {
    String response = sendRaw("GET /v1/requests/%zz%/ HTTP/1.1\r\nhost: x\r\n\r\n");
    assertThat(response).startsWith("HTTP/1.1 400");
  }

  @Test
  void redirectsMisdirectedRequestsWithAddresses() {
    HttpResponse response =
        join(cluster.chat(NOT_PERMITTED_HOST, ALPHA, chatBody("lost", 4, false), Map.of()));
    assertProblem(response, 421, "no");
    String permitted = "127.0.0.1:" + cluster.callerAddress(HOST).getPort();
    assertThat(json(response).path("addresses"))
        .extracting(JsonNode::asText)
        .containsExactly(permitted);
  }

  @Test
  void survivesRandomBytes() throws IOException {
    Random random = new Random(SEED);
    String good = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\n{}\n";
    for (int i = 0; i < FUZZED_REQUESTS; i++) {
      byte[] bytes = good.getBytes(StandardCharsets.ISO_8859_1);
      for (int flips = random.nextInt(8); flips >= 0; flips--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      String response = sendRaw(new String(bytes, StandardCharsets.ISO_8859_1));
      assertThat(response).doesNotStartWith("HTTP/1.1 5");
    }
  }

  /** Sends text over a new connection and returns the first bytes of the response. */
  private static String sendRaw(String text) throws IOException {
    var address = cluster.callerAddress(HOST);
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(10_000);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.shutdownOutput();
      InputStream in = socket.getInputStream();
      return new String(in.readNBytes(64), StandardCharsets.ISO_8859_1);
    } catch (java.net.SocketException e) {
      return "";
    }
  }

  @Test
  void hidesOperatorApiFromCallers() {
    for (String path : new String[] {"/v1/status", "/v1/configuration", "/metrics"}) {
      HttpResponse response =
          cluster.send(HttpRequest.get(cluster.callerAddress(HOST), path).build());
      assertThat(response.status()).as(path).isEqualTo(404);
    }
    HttpResponse drain =
        cluster.send(
            HttpRequest.post(cluster.operatorAddress(HOST), "/v1/drain", new byte[0]).build());
    assertThat(drain.status()).isEqualTo(403);
  }

  @Test
  void enforcesCustomerLimits() {
    var small = TestConfiguration.customer("small").inFlightLimit(1).build();
    cluster.publish(java.util.List.of(small));
    TestCluster.await(
        "customer small to be configured", () -> resume("small", "x").status() != 401);
    String slow = chatBody("slow", 400, false);
    var first = cluster.chat(HOST, "small", slow, Map.of());
    TestCluster.await(
        "the first request to be active", () -> join(cluster.daemon(HOST).activeRequests()) > 0);
    HttpResponse second = chat("small", slow, Map.of());
    assertProblem(second, 429, "no");
    assertThat(second.headers()).containsKey("retry-after");
    assertThat(join(first).status()).isEqualTo(200);
    assertThat(chat("small", chatBody("later", 4, false), Map.of()).status()).isEqualTo(200);
  }
}
