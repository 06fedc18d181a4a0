package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.EndpointStandIn.Behaviour;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Endpoints that state in their responses that they leave. */
@Timeout(60)
class EndpointLeavingTest extends GatewayHarness {

  private static final Map<String, String> LEAVING = Map.of("Server-Leaving", "1");

  private static boolean isKnown(RunningGateway running, EndpointStandIn endpoint) {
    return running.gateway().directory().find(endpoint.id()) != null;
  }

  private void expectNoFurtherRequest(
      RunningGateway running, String path, EndpointStandIn endpoint) {
    int before = endpoint.arrivals().size();
    for (int i = 0; i < 5; i++) {
      for (HttpResponse<String> response : postConcurrently(running, path)) {
        assertThat(response.statusCode()).isEqualTo(200);
      }
    }
    assertThat(endpoint.arrivals().size()).isEqualTo(before);
  }

  @Test
  void endpointThatLeavesGetsNoFurtherRequest() {
    RunningGateway running = startConfiguredGateway();
    EndpointStandIn leaving = plainEndpoints.get(0);
    leaving.setStatements(LEAVING);
    reach(running, "/unsafe/x", leaving);
    expectNoFurtherRequest(running, "/unsafe/x", leaving);
  }

  @Test
  void statementOnRefusalCounts() {
    RunningGateway running = startConfiguredGateway();
    EndpointStandIn leaving = plainEndpoints.get(0);
    leaving.setBehaviour(Behaviour.REFUSE_UNRUN);
    leaving.setStatements(LEAVING);
    reach(running, "/unsafe/x", leaving);
    expectNoFurtherRequest(running, "/unsafe/x", leaving);
  }

  @Test
  void statementOnStreamCounts() {
    RunningGateway running = startConfiguredGateway();
    EndpointStandIn leaving = modelEndpoints.get(0);
    leaving.setStatements(LEAVING);
    reach(running, "/stream/x", leaving);
    expectNoFurtherRequest(running, "/stream/x", leaving);
  }

  @Test
  void otherHostsLearnOfIt() {
    RunningGateway first = startConfiguredGateway();
    RunningGateway second = startGateway("host-2", List.of(first.peerAddress()));
    await(second.gateway()::isReady);
    await(() -> first.gateway().readyAddresses().size() == 2);
    await(() -> second.gateway().readyAddresses().size() == 2);
    EndpointStandIn leaving = plainEndpoints.get(0);
    leaving.setStatements(LEAVING);
    reach(first, "/unsafe/x", leaving);
    await(() -> !isKnown(second, leaving));
    expectNoFurtherRequest(second, "/unsafe/x", leaving);
  }

  @Test
  void readyEntryOfTheSameInstanceDoesNotTakeItBack() {
    RunningGateway running = startConfiguredGateway();
    EndpointStandIn leaving = plainEndpoints.get(0);
    leaving.setStatements(LEAVING);
    reach(running, "/unsafe/x", leaving);
    register("ready", List.of(leaving));
    await(() -> logged("endpoint_entry_outdated"));
    expectNoFurtherRequest(running, "/unsafe/x", leaving);
    leaving.setStatements(Map.of());
    leaving.restart();
    register("ready", List.of(leaving));
    await(() -> isKnown(running, leaving));
  }

  @Test
  void requestIsRefusedAsNotRunIfTheLastEndpointLeaves() {
    RunningGateway running = startConfiguredGateway();
    plainEndpoints.forEach(endpoint -> endpoint.setStatements(LEAVING));
    await(
        () -> {
          postConcurrently(running, "/unsafe/x");
          return plainEndpoints.stream().noneMatch(endpoint -> isKnown(running, endpoint));
        });
    int before = runs(plainEndpoints);
    assertThat(post(running, "/unsafe/x", "x").headers().firstValue("Retry-After")).isPresent();
    assertThat(runs(plainEndpoints)).isEqualTo(before);
  }
}
