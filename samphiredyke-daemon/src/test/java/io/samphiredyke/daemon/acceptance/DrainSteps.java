package io.samphiredyke.daemon.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.EndpointState;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.standins.hosts.HostEntry;
import io.samphiredyke.standins.plain.PlainFaults;
import io.samphiredyke.standins.plain.PlainStandIn;

/** Steps about draining endpoints. */
public final class DrainSteps {

  private PlainStandIn second;

  /** Starts and publishes another endpoint of the plain service. */
  @Given("a second endpoint of the plain service")
  public void startSecondEndpoint() {
    TestEnvironment environment = ScenarioContext.current().environment();
    second = environment.startPlainEndpoint("runner2");
    Endpoint item = environment.plainEndpoint("runner2", second.address()).build();
    environment.awaitActive(environment.publish(item), environment.hosts());
  }

  /** Publishes the first endpoint with the state leaving, which makes it drain. */
  @When("the configuration marks the first endpoint as draining")
  public void markDrainingByConfiguration() {
    TestEnvironment environment = ScenarioContext.current().environment();
    Endpoint item =
        environment
            .plainEndpoint("runner1", environment.cluster().plain().address())
            .state(EndpointState.LEAVING)
            .build();
    environment.setInitialVersion(item);
    environment.publish(item);
  }

  /** Sets the state of the first endpoint in the host list to leaving. */
  @When("the host list marks the first endpoint as draining")
  public void markDrainingByHostList() {
    TestEnvironment environment = ScenarioContext.current().environment();
    String address = TestEnvironment.format(environment.cluster().plain().address());
    TestCluster.join(
        environment
            .cluster()
            .hostList()
            .put(new HostEntry("runner1", address, "endpoint", TestCluster.HOME, "leaving")));
  }

  /**
   * Waits until a host reports the first endpoint as draining, and makes the endpoint count new
   * requests from then on.
   */
  @When("its broker reports it as draining")
  public void awaitDraining() {
    TestEnvironment environment = ScenarioContext.current().environment();
    TestCluster.await("runner1 to be reported as draining", DrainSteps::isReportedAsDraining);
    PlainFaults faults = new PlainFaults(1, 0, 0, 0, false, true, false);
    TestCluster.join(environment.cluster().plain().setFaults(faults));
  }

  private static boolean isReportedAsDraining() {
    TestEnvironment environment = ScenarioContext.current().environment();
    for (String host : environment.hosts()) {
      for (JsonNode endpoint : environment.cluster().status(host).path("endpoints")) {
        boolean isDraining = endpoint.path("state").asText().equals("LEAVING");
        if (endpoint.path("name").asText().equals("runner1") && isDraining) {
          return true;
        }
      }
    }
    return false;
  }

  /** Asserts that only the second endpoint had effects. */
  @Then("the first endpoint received none of them")
  public void firstEndpointReceivedNone() {
    TestEnvironment environment = ScenarioContext.current().environment();
    JsonNode counts = environment.counts(environment.cluster().plain().address());
    assertThat(counts.path("effectsWhileLeaving").asLong(-1)).isZero();
    assertThat(environment.counts(second.address()).path("effects").asLong()).isGreaterThan(0);
  }
}
