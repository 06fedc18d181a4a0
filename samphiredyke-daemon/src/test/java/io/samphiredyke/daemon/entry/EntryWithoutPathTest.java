package io.samphiredyke.daemon.entry;

import static io.samphiredyke.daemon.testing.TestCluster.chatBody;
import static io.samphiredyke.daemon.testing.TestCluster.json;
import static io.samphiredyke.daemon.testing.TestConfiguration.ALPHA;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.daemon.testing.TestConfiguration;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.net.http.HttpServer;
import io.samphiredyke.net.http.HttpServerOptions;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against an entry that keeps requests although it reaches no endpoint of their service. */
@Timeout(60)
class EntryWithoutPathTest {

  private static final String HOST = "host1";
  private static final String SERVICE = "cut-off";

  private static final Pattern ATTEMPTS =
      Pattern.compile("event=\"endpoint-not-reached\"[^}]*} ([0-9.]+)");

  private TestCluster cluster;
  private InetSocketAddress engineAddress = new InetSocketAddress("127.0.0.1", 0);

  @BeforeEach
  void start() {
    cluster = TestCluster.ofOneHost();
    HttpServer engine = startEngine();
    engineAddress = engine.address();
    cluster.publish(
        List.of(
            TestConfiguration.modelService(SERVICE, "cut-off-model", Set.of(TestCluster.HOME)),
            TestConfiguration.engine(
                "cut-off-engine",
                "127.0.0.1:" + engineAddress.getPort(),
                TestCluster.HOME,
                "cut-off-model")));
    TestCluster.await("the service to be available", () -> ask().status() == 200);
    TestCluster.join(engine.stop());
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  private HttpServer startEngine() {
    HttpServerOptions options = HttpServerOptions.defaults();
    return TestCluster.join(
        HttpServer.start(cluster.group(), engineAddress, options, EntryWithoutPathTest::respond));
  }

  private static void respond(HttpExchange exchange) {
    byte[] event = "id: 1\ndata: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
    Map<String, String> headers = Map.of("content-type", "text/event-stream");
    exchange.body().thenRun(() -> exchange.respond(200, headers, event));
  }

  private HttpResponse ask() {
    return cluster
        .chat(HOST, ALPHA, SERVICE, chatBody("hello", 4, true), Map.of())
        .orTimeout(5, TimeUnit.SECONDS)
        .join();
  }

  private double attempts() {
    HttpRequest request = HttpRequest.get(cluster.operatorAddress(HOST), "/metrics").build();
    Matcher found = ATTEMPTS.matcher(cluster.send(request).text());
    return found.find() ? Double.parseDouble(found.group(1)) : 0;
  }

  @Test
  void requestsAreRefusedAsNotRunUntilAnEndpointIsReached() {
    long begin = System.nanoTime();
    for (int i = 0; i < 50; i++) {
      HttpResponse refused = ask();
      assertThat(refused.status()).isEqualTo(503);
      assertThat(json(refused).path("ran").asText()).isEqualTo("no");
      assertThat(refused.headers()).containsKey("retry-after");
    }
    long halfSeconds = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin) / 500;
    assertThat(attempts()).isBetween(3.0, 3.0 + 2 * (1 + halfSeconds));
    startEngine();
    TestCluster.await("the service to be available", () -> ask().status() == 200);
  }
}
