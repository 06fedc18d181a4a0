package io.samphiredyke.daemon.entry;

import static io.samphiredyke.daemon.testing.TestCluster.chatBody;
import static io.samphiredyke.daemon.testing.TestCluster.join;
import static io.samphiredyke.daemon.testing.TestConfiguration.ALPHA;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.daemon.testing.TestConfiguration;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.net.http.HttpServer;
import io.samphiredyke.net.http.HttpServerOptions;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A graceful shutdown whose time ends while requests wait for a slot. */
class DrainTimeoutTest {

  private static final String HOST = "host1";
  private static final String SERVICE = "silent";
  private static final int REQUESTS = 100;

  /** Guards against requests that wait for a slot and are closed without an answer. */
  @Test
  void waitingRequestsAreRefusedBeforeTheHostStops() {
    AtomicInteger dispatched = new AtomicInteger();
    try (TestCluster cluster =
        TestCluster.builder()
            .host(HOST, "dc1")
            .settings(settings -> settings.toBuilder().drainTimeout(Duration.ofSeconds(1)).build())
            .start()) {
      HttpServer silentEngine =
          join(
              HttpServer.start(
                  cluster.group(),
                  new InetSocketAddress("127.0.0.1", 0),
                  HttpServerOptions.defaults(),
                  exchange -> {
                    if (exchange.method().equals("POST")) {
                      dispatched.incrementAndGet();
                    }
                  }));
      cluster.publish(
          List.of(
              TestConfiguration.modelService(SERVICE, "silent-model", Set.of("dc1")),
              TestConfiguration.engine(
                  "silent-engine",
                  "127.0.0.1:" + silentEngine.address().getPort(),
                  "dc1",
                  "silent-model")));
      List<CompletableFuture<HttpResponse>> responses = new ArrayList<>();
      TestCluster.await(
          "the service to be available",
          () -> {
            responses.add(cluster.chat(HOST, ALPHA, SERVICE, chatBody("hello", 5, true), Map.of()));
            return dispatched.get() > 0;
          });
      responses.clear();
      for (int i = 0; i < REQUESTS; i++) {
        responses.add(
            cluster.chat(HOST, ALPHA, SERVICE, chatBody("hello " + i, 5, true), Map.of()));
      }
      join(cluster.daemon(HOST).drain());
      long answered =
          responses.stream()
              .map(response -> response.handle((result, failure) -> failure == null).join())
              .filter(isAnswered -> isAnswered)
              .count();
      assertThat(dispatched.get()).isLessThan(REQUESTS);
      assertThat(answered).isGreaterThanOrEqualTo(REQUESTS - dispatched.get());
    }
  }
}
