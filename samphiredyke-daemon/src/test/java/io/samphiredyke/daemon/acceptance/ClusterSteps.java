package io.samphiredyke.daemon.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.samphiredyke.daemon.testing.TestCluster;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Steps that start and stop hosts. */
public final class ClusterSteps {

  /** Starts hosts, distributed over the data centres. */
  @Given("{int} hosts in {int} data centres")
  public void startHosts(int hosts, int dataCentres) {
    ScenarioContext.begin(new TestEnvironment(layout(hosts, dataCentres), Set.of(), false));
  }

  /** Starts hosts and permits the services in one data centre only. */
  @Given("{int} hosts in {int} data centres and services limited to data centre {word}")
  public void startHosts(int hosts, int dataCentres, String permitted) {
    ScenarioContext.begin(
        new TestEnvironment(layout(hosts, dataCentres), Set.of(permitted), false));
  }

  /** Starts hosts that callers and peers reach through proxies. */
  @Given("{int} hosts in {int} data centres behind network proxies")
  public void startHostsBehindProxies(int hosts, int dataCentres) {
    ScenarioContext.begin(new TestEnvironment(layout(hosts, dataCentres), Set.of(), true));
  }

  private static Map<String, String> layout(int hosts, int dataCentres) {
    Map<String, String> dataCentreByHost = new TreeMap<>();
    for (int i = 0; i < hosts; i++) {
      dataCentreByHost.put("host" + (i + 1), "dc" + (i % dataCentres + 1));
    }
    return dataCentreByHost;
  }

  /** Stops the owner without a drain. */
  @When("the owner crashes")
  public void crashOwner() {
    ScenarioContext scenario = ScenarioContext.current();
    scenario.environment().stopHost(scenario.chain().get(0));
  }

  /** Asserts that no running host counted a violation of an invariant. */
  @Then("no host detected an invariant violation")
  public void assertNoViolations() {
    TestCluster cluster = ScenarioContext.current().environment().cluster();
    for (String host : ScenarioContext.current().running()) {
      assertThat(cluster.daemon(host).invariantViolations().values())
          .as(host)
          .allMatch(count -> count == 0);
    }
  }

  /** Ends the scenario and stops its cluster. */
  @After
  public void stop() throws Exception {
    ScenarioContext.end();
  }
}
