package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.PlatformFixtures;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Endpoints that answer nothing for a time, while their system accepts connections and bytes, and
 * then go on.
 */
@Timeout(120)
class EndpointSilenceTest extends GatewayHarness {

  private static final int ENDPOINTS = 4;

  private static final int PAUSES = 8;

  /** Objective of all routes and longest gap between events. */
  private static final int OBJECTIVE_MILLIS = 300;

  private static final int EVENT_MILLIS = 40;

  /** Longer than any test. */
  private static final long HANG_MILLIS = 180_000;

  private static final String EVENTS =
      Stream.of(1, 2, 3, 4, 5)
          .map(id -> "id: " + id + "\ndata: token\n\n")
          .reduce("", String::concat);

  private final List<EventLoopGroup> loops = new ArrayList<>();
  private final CountDownLatch end = new CountDownLatch(1);
  private RunningGateway running;

  @BeforeEach
  void startEndpoints() {
    replace(plainEndpoints, "plain", false);
    replace(modelEndpoints, "model", true);
    store.put(
        StoreClient.OPERATOR_TOPIC,
        StoreClient.CONFIGURATION_KEY,
        PlatformFixtures.configuration(1, List.of(), List.of(PlatformFixtures.KEY))
            .replace(
                "\"TargetLatencyMs\":1000",
                "\"TargetLatencyMs\":" + OBJECTIVE_MILLIS + ",\"TargetGapMs\":" + EVENT_MILLIS));
    running = startGateway("host-1", List.of());
    await(running.gateway()::isReady);
    for (String service : List.of("plain", "model")) {
      await(() -> running.gateway().directory().ofService(service).size() == ENDPOINTS);
    }
  }

  /** Replaces endpoints by some that each have a thread of their own, which can be held up. */
  private void replace(List<EndpointStandIn> endpoints, String service, boolean streams) {
    register("draining", endpoints);
    endpoints.clear();
    for (int i = 1; i <= ENDPOINTS; i++) {
      EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
      loops.add(loop);
      EndpointStandIn endpoint =
          new EndpointStandIn(service + "-" + i, service, streams).start(loop);
      endpoint.setStartMillis(OBJECTIVE_MILLIS);
      endpoint.setEventMillis(EVENT_MILLIS);
      endpoints.add(endpoint);
    }
    register("ready", endpoints);
  }

  @AfterEach
  void stopEndpoints() {
    end.countDown();
    loops.forEach(loop -> loop.shutdownGracefully(0, 1, TimeUnit.SECONDS));
  }

  private void hold(long millis) {
    try {
      end.await(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private List<EndpointStandIn> endpoints() {
    return Stream.concat(plainEndpoints.stream(), modelEndpoints.stream()).toList();
  }

  private long runs(String requestId) {
    return endpoints().stream()
        .flatMap(endpoint -> endpoint.runs().stream())
        .filter(run -> run.requestId().equals(requestId))
        .count();
  }

  private CompletableFuture<HttpResponse<String>> sendAsync(String path) {
    HttpRequest request =
        request(running, path).POST(HttpRequest.BodyPublishers.ofString("x")).build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Sends a request and returns what is wrong with its outcome, empty if nothing. */
  private CompletableFuture<String> outcome(String path) {
    CompletableFuture<HttpResponse<String>> response = sendAsync(path);
    String id = "r-" + requestCount;
    return response.handle(
        (received, failure) -> {
          String body = received == null ? "none" : received.statusCode() + " " + received.body();
          boolean isWhole = body.startsWith("200 answer of ") || body.equals("200 " + EVENTS);
          return isWhole && runs(id) == 1 ? "" : path + " ran " + runs(id) + " times: " + body;
        });
  }

  /**
   * The endpoints fall silent before the first event of a stream or in its middle; a plain request
   * is under way.
   */
  @ParameterizedTest
  @CsvSource({"800, 450", "1200, 300", "1500, 300"})
  void requestThatMustRunOnceStaysAtAnEndpointThatIsSilentForASecond(long millis, int startMillis) {
    endpoints().forEach(endpoint -> endpoint.setStartMillis(startMillis));
    AtomicInteger pauses = new AtomicInteger();
    List<String> faults = new ArrayList<>();
    for (int event = 1; pauses.get() < PAUSES; event = event == 1 ? 3 : 1) {
      int silentEvent = event;
      for (EndpointStandIn endpoint : endpoints()) {
        AtomicInteger left = new AtomicInteger(1);
        endpoint.beforeEvent(
            number -> {
              if (number == silentEvent && left.getAndDecrement() > 0) {
                pauses.incrementAndGet();
                hold(millis);
              }
            });
      }
      List<CompletableFuture<String>> outcomes = new ArrayList<>();
      for (int i = 0; i < ENDPOINTS; i++) {
        outcomes.add(outcome("/unsafe/x"));
        outcomes.add(outcome("/stream/x"));
        outcomes.add(outcome("/resumable/x"));
      }
      outcomes.stream().map(CompletableFuture::join).filter(o -> !o.isEmpty()).forEach(faults::add);
    }
    assertThat(faults).as("of " + pauses + " pauses").isEmpty();
  }

  /** Guards against a stream that stays at an endpoint until the time limit of its caller. */
  @Test
  void streamOfAnEndpointThatHangsGoesOnElsewhere() {
    AtomicInteger left = new AtomicInteger(1);
    for (EndpointStandIn endpoint : modelEndpoints) {
      endpoint.beforeEvent(
          number -> {
            if (number == 3 && left.getAndDecrement() > 0) {
              hold(HANG_MILLIS);
            }
          });
    }
    assertThat(sendAsync("/resumable/x").join().body()).isEqualTo(EVENTS);
    assertThat(modelEndpoints.stream().flatMap(endpoint -> endpoint.runs().stream()))
        .extracting(run -> run.headers().getOrDefault("last-event-id", ""))
        .containsExactlyInAnyOrder("", "2");
  }
}
