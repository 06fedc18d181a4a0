package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.EndpointStandIn.Behaviour;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Endpoints that refuse with a time for which they want no requests from this host. */
@Timeout(60)
class EndpointPauseTest extends GatewayHarness {

  /** Requests that may still reach the endpoint, because they were under way. */
  private static final int UNDER_WAY = 2;

  private static void refuse(EndpointStandIn endpoint, String retryAfter) {
    endpoint.setBehaviour(Behaviour.REFUSE_UNRUN);
    endpoint.setStatements(Map.of("Retry-After", retryAfter));
  }

  private static void accept(EndpointStandIn endpoint) {
    endpoint.setBehaviour(Behaviour.SERVE);
    endpoint.setStatements(Map.of());
  }

  private void sendFor(RunningGateway running, long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      assertThat(post(running, "/unsafe/x", "x").statusCode()).isEqualTo(200);
    }
  }

  @Test
  void pausedEndpointGetsNothingUntilTheEnd() {
    RunningGateway running = startConfiguredGateway();
    EndpointStandIn paused = plainEndpoints.get(0);
    refuse(paused, "1.5");
    reach(running, "/unsafe/x", paused);
    int before = paused.arrivals().size();
    sendFor(running, 1_200);
    assertThat(paused.arrivals().size() - before).isLessThanOrEqualTo(UNDER_WAY);
    accept(paused);
    plainEndpoints.get(1).setBehaviour(Behaviour.REFUSE_UNRUN);
    await(() -> post(running, "/unsafe/x", "x").statusCode() == 200);
  }

  @Test
  void otherHostStillUsesTheEndpoint() {
    RunningGateway first = startConfiguredGateway();
    RunningGateway second = startGateway("host-2", List.of(first.peerAddress()));
    await(second.gateway()::isReady);
    await(() -> first.gateway().readyAddresses().size() == 2);
    await(() -> second.gateway().readyAddresses().size() == 2);
    EndpointStandIn paused = plainEndpoints.get(0);
    refuse(paused, "30");
    reach(first, "/unsafe/x", paused);
    accept(paused);
    plainEndpoints.get(1).setBehaviour(Behaviour.REFUSE_UNRUN);
    int before = paused.arrivals().size();
    await(() -> post(second, "/unsafe/x", "x").statusCode() == 200);
    assertThat(paused.arrivals().size()).isGreaterThan(before);
  }

  @Test
  void requestIsRefusedAtOnceIfAllEndpointsPauseForLong() {
    RunningGateway running = startConfiguredGateway();
    plainEndpoints.forEach(endpoint -> refuse(endpoint, "25"));
    reachAll(running);
    int before = arrivals();
    long sentAt = System.nanoTime();
    HttpResponse<String> response = post(running, "/unsafe/x", "x");
    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(System.nanoTime() - sentAt).isLessThan(500_000_000L);
    double retryAfter =
        Double.parseDouble(response.headers().firstValue("Retry-After").orElse("0"));
    assertThat(retryAfter).isBetween(15.0, 30.0);
    assertThat(arrivals()).isEqualTo(before);
  }

  @Test
  void requestWaitsForAShortPause() {
    RunningGateway running = startConfiguredGateway();
    plainEndpoints.forEach(endpoint -> refuse(endpoint, "0.6"));
    reachAll(running);
    plainEndpoints.forEach(EndpointPauseTest::accept);
    assertThat(post(running, "/unsafe/x", "x").statusCode()).isEqualTo(200);
  }

  /** Sends requests until each endpoint has refused one. */
  private void reachAll(RunningGateway running) {
    await(
        () -> {
          postConcurrently(running, "/unsafe/x");
          return plainEndpoints.stream().noneMatch(endpoint -> endpoint.arrivals().isEmpty());
        });
  }

  private int arrivals() {
    return plainEndpoints.stream().mapToInt(endpoint -> endpoint.arrivals().size()).sum();
  }
}
