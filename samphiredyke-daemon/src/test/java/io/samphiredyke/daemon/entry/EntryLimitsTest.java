package io.samphiredyke.daemon.entry;

import static io.samphiredyke.daemon.testing.TestCluster.chatBody;
import static io.samphiredyke.daemon.testing.TestCluster.join;
import static io.samphiredyke.daemon.testing.TestCluster.json;
import static io.samphiredyke.daemon.testing.TestConfiguration.ALPHA;
import static io.samphiredyke.daemon.testing.TestConfiguration.BETA;
import static io.samphiredyke.daemon.testing.TestConfiguration.CHAT;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards the limits of an entry's memory and number of sessions. At a limit, requests are refused
 * with their execution status and a time to wait before a retry.
 */
class EntryLimitsTest {

  private static final String HOST = "host1";

  private static TestCluster start(long answerMemory, int requests) {
    return TestCluster.builder()
        .host(HOST, "dc1")
        .settings(
            settings ->
                settings.toBuilder().answerMemory(answerMemory).requestLimit(requests).build())
        .start();
  }

  @Test
  void evictsCompletedResponsesAndFetchesThemAgain() {
    try (TestCluster cluster = start(30_000, 1_000)) {
      String ticket = cluster.ticket(HOST, ALPHA, CHAT);
      List<String> responses = new ArrayList<>();
      int id = 0;
      while (responses.size() < 8) {
        id++;
        HttpResponse response = ask(cluster, ticket + "." + id, id);
        if (response.status() == 200) {
          responses.add(id + ":" + response.text());
          continue;
        }
        assertThat(response.status()).isEqualTo(503);
        assertThat(json(response).path("ran").asText()).isEqualTo("no");
        assertThat(response.headers()).containsKey("retry-after");
        TestCluster.await("memory to be released", () -> heldBytes(cluster) < 30_000);
      }
      TestCluster.await("memory to be released", () -> heldBytes(cluster) < 30_000);
      String first = responses.get(0);
      int firstId = Integer.parseInt(first.substring(0, first.indexOf(':')));
      HttpResponse again = ask(cluster, ticket + "." + firstId, firstId);
      assertThat(firstId + ":" + again.text()).isEqualTo(first);
      HttpResponse counts =
          cluster.send(HttpRequest.get(cluster.engine().address(), "/control/counts").build());
      assertThat(json(counts).path("total").path("executions").asInt()).isEqualTo(8);
    }
  }

  private static HttpResponse ask(TestCluster cluster, String id, int prompt) {
    Map<String, String> header = Map.of("idempotency-key", id);
    return join(cluster.chat(HOST, ALPHA, chatBody("prompt " + prompt, 64, false), header));
  }

  private static long heldBytes(TestCluster cluster) {
    return cluster.daemon(HOST).heldBytes();
  }

  @Test
  void limitsSessionsOfOneCustomerAndServesOthers() {
    try (TestCluster cluster = start(1_000_000, 100)) {
      String ticket = cluster.ticket(HOST, ALPHA, CHAT);
      HttpResponse last = null;
      for (int i = 0; i <= 50; i++) {
        last = resume(cluster, ticket + "." + i);
      }
      assertThat(last.status()).isEqualTo(429);
      assertThat(last.headers()).containsKey("retry-after");
      assertThat(json(last).path("ran").asText()).isEqualTo("unknown");
      HttpResponse other = join(cluster.chat(HOST, BETA, chatBody("hi", 4, false), Map.of()));
      assertThat(other.status()).isEqualTo(200);
    }
  }

  private static HttpResponse resume(TestCluster cluster, String id) {
    return cluster.send(
        HttpRequest.get(cluster.callerAddress(HOST), "/v1/requests/" + id)
            .header("authorization", TestCluster.bearer(ALPHA))
            .build());
  }
}
