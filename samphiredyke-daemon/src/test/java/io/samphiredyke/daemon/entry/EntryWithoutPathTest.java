package io.samphiredyke.daemon.entry;

import static io.samphiredyke.daemon.testing.TestCluster.chatBody;
import static io.samphiredyke.daemon.testing.TestCluster.json;
import static io.samphiredyke.daemon.testing.TestConfiguration.ALPHA;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.config.Item;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.daemon.testing.TestConfiguration;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.HttpHandler;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.net.http.HttpServer;
import io.samphiredyke.net.http.HttpServerOptions;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
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
  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

  private static final Pattern ATTEMPTS =
      Pattern.compile("event=\"endpoint-not-reached\"[^}]*} ([0-9.]+)");

  private TestCluster cluster;
  private InetSocketAddress engineAddress = ANY_PORT;

  @BeforeEach
  void start() {
    cluster = TestCluster.ofOneHost();
    HttpServer engine = publish(SERVICE, EntryWithoutPathTest::respond).get(0);
    engineAddress = engine.address();
    TestCluster.await("the service to be available", () -> ask().status() == 200);
    TestCluster.join(engine.stop());
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  /** Publishes a service with an engine for each of the handlers. */
  private List<HttpServer> publish(String service, HttpHandler... handlers) {
    List<HttpServer> engines = new ArrayList<>();
    List<Item> items = new ArrayList<>();
    items.add(TestConfiguration.modelService(service, service, Set.of(TestCluster.HOME)));
    for (HttpHandler handler : handlers) {
      HttpServer engine = startEngine(ANY_PORT, handler);
      engines.add(engine);
      String address = "127.0.0.1:" + engine.address().getPort();
      items.add(
          TestConfiguration.engine(service + engines.size(), address, TestCluster.HOME, service));
    }
    cluster.publish(items);
    return engines;
  }

  private HttpServer startEngine(InetSocketAddress address, HttpHandler handler) {
    HttpServerOptions options = HttpServerOptions.defaults();
    return TestCluster.join(HttpServer.start(cluster.group(), address, options, handler));
  }

  private static void respond(HttpExchange exchange) {
    byte[] event = "id: 1\ndata: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
    Map<String, String> headers = Map.of("content-type", "text/event-stream");
    exchange.body().thenRun(() -> exchange.respond(200, headers, event));
  }

  private CompletableFuture<HttpResponse> send(String service, String prompt) {
    return cluster.chat(HOST, ALPHA, service, chatBody(prompt, 4, true), Map.of());
  }

  private HttpResponse ask() {
    return send(SERVICE, "hello").orTimeout(5, TimeUnit.SECONDS).join();
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
    startEngine(engineAddress, EntryWithoutPathTest::respond);
    TestCluster.await("the service to be available", () -> ask().status() == 200);
  }

  /** Guards against an endpoint that gets requests although its connections are reset. */
  @Test
  void endpointWhoseConnectionsAreResetIsAvoided() throws InterruptedException {
    AtomicInteger lost = new AtomicInteger();
    publish("half-cut", exchange -> reset(exchange, lost), EntryWithoutPathTest::respond);
    TestCluster.await(
        "three lost requests",
        () -> {
          send("half-cut", "until three are lost");
          return lost.get() >= 3;
        });
    Thread.sleep(100);
    int lostBefore = lost.get();
    for (int i = 0; i < 20; i++) {
      send("half-cut", "after three were lost");
    }
    Thread.sleep(200);
    assertThat(lost.get()).isEqualTo(lostBefore);
  }

  private static void reset(HttpExchange exchange, AtomicInteger lost) {
    if (exchange.method().equals("POST")) {
      lost.incrementAndGet();
    }
    exchange.abort();
  }
}
