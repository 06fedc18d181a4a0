package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.standin.EndpointStandIn;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that reach an endpoint which states how many a second it accepts. */
@Timeout(60)
class EndpointLimitTest extends GatewayHarness {

  private static final double LIMIT = 1.5;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Window of the platform's rule, and the requests that it permits in one. */
  private static final long WINDOW_NANOS = 4_000 * NANOS_PER_MILLI;

  private static final int PERMITTED = (int) (1.5 * LIMIT * 4 + 5);

  /** Time after the first response with a limit from which on requests count. */
  private static final long NOTICE_NANOS = 500 * NANOS_PER_MILLI;

  private final List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();

  /** Sends requests alternately to the gateways at a fixed rate. */
  private void sendFor(long millis, List<RunningGateway> gateways) throws InterruptedException {
    long end = System.nanoTime() + millis * NANOS_PER_MILLI;
    for (int i = 0; System.nanoTime() < end; i++) {
      HttpRequest request =
          request(gateways.get(i % gateways.size()), "/resumable/x")
              .POST(HttpRequest.BodyPublishers.ofString("p"))
              .build();
      responses.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
      Thread.sleep(20);
    }
  }

  private static int mostInWindow(List<Long> arrivals, long from) {
    int most = 0;
    for (long start : arrivals) {
      int count = 0;
      for (long arrival : arrivals) {
        boolean isInWindow = arrival >= start && arrival - start <= WINDOW_NANOS;
        count += start >= from && isInWindow ? 1 : 0;
      }
      most = Math.max(most, count);
    }
    return most;
  }

  /** Makes the first endpoint the preferred one by slowing down the other. */
  private EndpointStandIn preferredEndpoint() {
    modelEndpoints.get(1).setBehaviour(EndpointStandIn.Behaviour.SLOW);
    return modelEndpoints.get(0);
  }

  private List<RunningGateway> startGateways() {
    RunningGateway first = startConfiguredGateway();
    List<RunningGateway> all =
        List.of(
            first,
            startGateway("host-2", List.of(first.peerAddress())),
            startGateway("host-3", List.of(first.peerAddress())));
    all.forEach(running -> await(running.gateway()::isReady));
    all.forEach(running -> await(() -> running.gateway().readyAddresses().size() == 3));
    return all;
  }

  @Test
  void endpointGetsNoMoreRequestsThanItsStatedLimitFromAllHosts() throws Exception {
    final List<RunningGateway> gateways = startGateways();
    EndpointStandIn limited = modelEndpoints.get(0);
    limited.setStatements(Map.of("Server-Limit", Double.toString(LIMIT)));
    long statedAt = System.nanoTime();

    sendFor(6_000, gateways);

    for (CompletableFuture<HttpResponse<String>> response : responses) {
      assertThat(response.join().statusCode()).isEqualTo(200);
    }
    assertThat(mostInWindow(limited.arrivals(), statedAt + NOTICE_NANOS))
        .isLessThanOrEqualTo(PERMITTED);
  }

  @Test
  void limitEndsWhenTheEndpointNoLongerStatesIt() throws Exception {
    final List<RunningGateway> gateways = startGateways();
    EndpointStandIn limited = preferredEndpoint();
    limited.setStatements(Map.of("Server-Limit", "2"));
    sendFor(3_000, gateways);
    int before = limited.arrivals().size();
    assertThat(before).as("a limited endpoint is still used").isBetween(4, 25);
    limited.setStatements(Map.of());
    sendFor(3_000, gateways);
    assertThat(limited.arrivals().size() - before).isGreaterThan(30);
  }

  /** All endpoints of a service are limited: what exceeds the limit is refused, and may return. */
  @Tag("known-red")
  @Test
  void excessIsRefusedIfAllEndpointsAreLimited() throws Exception {
    final List<RunningGateway> gateways = startGateways();
    modelEndpoints.forEach(
        endpoint -> endpoint.setStatements(Map.of("Server-Limit", Double.toString(LIMIT))));
    long statedAt = System.nanoTime();

    sendFor(6_000, gateways);

    for (CompletableFuture<HttpResponse<String>> response : responses) {
      assertThat(response.join().statusCode()).isIn(200, 503);
      if (response.join().statusCode() == 503) {
        assertThat(response.join().headers().firstValue("Retry-After")).isPresent();
      }
    }
    for (EndpointStandIn endpoint : modelEndpoints) {
      assertThat(mostInWindow(endpoint.arrivals(), statedAt + NOTICE_NANOS))
          .isLessThanOrEqualTo(PERMITTED);
    }
  }

  /** Guards against a statement that only the host knows that got it. */
  @Test
  void brittlenessIsKnownToAllHosts() {
    RunningGateway first = startConfiguredGateway();
    RunningGateway second = startGateway("host-2", List.of(first.peerAddress()));
    await(() -> second.gateway().readyAddresses().size() == 2);
    plainEndpoints.get(0).setStatements(Map.of("Server-Brittle", "3"));
    plainEndpoints.get(1).setStatements(Map.of("Server-Brittle", "0"));
    plainEndpoints.forEach(each -> reach(first, "/unsafe/x", each));
    await(() -> second.gateway().peers().statements().brittleEndpoints() == 1);
    await(() -> logged("endpoint_brittle_rejected"));
    plainEndpoints.get(0).setStatements(Map.of());
    reach(first, "/unsafe/x", plainEndpoints.get(0));
    await(() -> second.gateway().peers().statements().brittleEndpoints() == 0);
  }

  /** A host that starts may schedule at once, before an endpoint has answered it. */
  @Test
  void brittlenessIsToldToHostThatStarts() {
    RunningGateway first = startConfiguredGateway();
    plainEndpoints.get(0).setStatements(Map.of("Server-Brittle", "3"));
    reach(first, "/unsafe/x", plainEndpoints.get(0));
    await(() -> first.gateway().peers().statements().brittleEndpoints() == 1);
    RunningGateway second = startGateway("host-2", List.of(first.peerAddress()));
    await(() -> second.gateway().peers().statements().brittleEndpoints() == 1);
  }
}
