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

  /** Starts hosts, each in a data centre of its own. */
  @Given("{int} hosts in {int} data centres")
  public void hosts(int hosts, int dataCentres) {
    ScenarioContext.begin(new TestEnvironment(layout(hosts, dataCentres), Set.of(), false));
  }

  /** Starts three hosts and limits the services to one data centre. */
  @Given("{int} hosts in {int} data centres and services limited to data centre {word}")
  public void hosts(int hosts, int dataCentres, String permitted) {
    ScenarioContext.begin(
        new TestEnvironment(layout(hosts, dataCentres), Set.of(permitted), false));
  }

  /** Starts hosts that callers and peers reach over relays. */
  @Given("{int} hosts in {int} data centres behind links that can lose connections")
  public void hostsBehindLinks(int hosts, int dataCentres) {
    ScenarioContext.begin(new TestEnvironment(layout(hosts, dataCentres), Set.of(), true));
  }

  private static Map<String, String> layout(int hosts, int dataCentres) {
    Map<String, String> dataCentreByHost = new TreeMap<>();
    for (int i = 0; i < hosts; i++) {
      dataCentreByHost.put("host" + (i + 1), "dc" + (i % dataCentres + 1));
    }
    return dataCentreByHost;
  }

  /** Stops the owner at once. */
  @When("the owner dies")
  public void ownerDies() {
    ScenarioContext scenario = ScenarioContext.current();
    scenario.world().stopHost(scenario.chain().get(0));
  }

  /** Checks that no process saw one of its invariants broken. */
  @Then("no host saw an invariant broken")
  public void noViolations() {
    TestCluster cluster = ScenarioContext.current().world().cluster();
    for (String host : ScenarioContext.current().running()) {
      assertThat(cluster.daemon(host).invariantViolations().values())
          .as(host)
          .allMatch(count -> count == 0);
    }
  }

  /** Stops everything. */
  @After
  public void stop() throws Exception {
    ScenarioContext.end();
  }
}
