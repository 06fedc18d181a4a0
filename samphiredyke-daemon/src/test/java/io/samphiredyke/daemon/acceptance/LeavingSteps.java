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

/** Steps of endpoints that leave. */
public final class LeavingSteps {

  private PlainStandIn second;

  /** Starts another plain service. */
  @Given("a second endpoint of the plain service")
  public void secondEndpoint() {
    TestEnvironment world = ScenarioContext.current().world();
    second = world.startRunner("runner2");
    Endpoint item = world.runner("runner2", second.address()).build();
    world.awaitInForce(world.publish(item), world.hosts());
  }

  /** Makes its broker known to the scenario by one registration for each endpoint. */
  @When("the configuration marks the first endpoint as leaving")
  public void leavesByConfiguration() {
    TestEnvironment world = ScenarioContext.current().world();
    Endpoint item =
        world
            .runner("runner1", world.cluster().plain().address())
            .state(EndpointState.LEAVING)
            .build();
    world.isInFirstRecord(item);
    world.publish(item);
  }

  /** Marks it in the host list. */
  @When("the host list marks the first endpoint as leaving")
  public void leavesByHostList() {
    TestEnvironment world = ScenarioContext.current().world();
    String address = TestEnvironment.format(world.cluster().plain().address());
    TestCluster.join(
        world
            .cluster()
            .hostList()
            .put(new HostEntry("runner1", address, "endpoint", TestCluster.HOME, "leaving")));
  }

  /** Waits until every host treats it as leaving, and lets the endpoint count new work. */
  @When("its broker knows that it leaves")
  public void known() {
    TestEnvironment world = ScenarioContext.current().world();
    TestCluster.await("runner1 is leaving", LeavingSteps::isKnown);
    PlainFaults faults = new PlainFaults(1, 0, 0, 0, false, true, false);
    TestCluster.join(world.cluster().plain().setFaults(faults));
  }

  private static boolean isKnown() {
    TestEnvironment world = ScenarioContext.current().world();
    for (String host : world.hosts()) {
      for (JsonNode line : world.cluster().status(host).path("endpoints")) {
        boolean isLeaving = line.path("state").asText().equals("LEAVING");
        if (line.path("name").asText().equals("runner1") && isLeaving) {
          return true;
        }
      }
    }
    return false;
  }

  /** Checks the endpoint's own count. */
  @Then("the first endpoint got none of them")
  public void gotNone() {
    TestEnvironment world = ScenarioContext.current().world();
    JsonNode counts = world.counts(world.cluster().plain().address());
    assertThat(counts.path("effectsWhileLeaving").asLong(-1)).isZero();
    assertThat(world.counts(second.address()).path("effects").asLong()).isGreaterThan(0);
  }
}
