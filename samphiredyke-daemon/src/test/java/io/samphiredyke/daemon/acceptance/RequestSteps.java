package io.samphiredyke.daemon.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.samphiredyke.daemon.testing.TestCluster;
import java.util.Map;

/** Steps of a caller and of what it gets. */
public final class RequestSteps {

  /** Asks for a ticket only. */
  @Given("a caller has a ticket for a chat request")
  public void ticketForChat() {
    ScenarioContext.current().chooseChat();
  }

  /** Sends a streamed chat request to its owner. */
  @Given("a caller sends a chat request to its owner")
  public void sendChat() {
    ScenarioContext scenario = ScenarioContext.current();
    scenario.chooseChat();
    scenario.sendChat(scenario.chain().get(0));
  }

  /** Calls the plain service at its owner. */
  @Given("a caller sends a registration to its owner")
  public void sendCall() {
    ScenarioContext scenario = ScenarioContext.current();
    scenario.chooseCall();
    scenario.sendCall(scenario.chain().get(0));
  }

  /** Waits until the endpoint has the request. */
  @Given("the endpoint has begun to work on it")
  public void begun() {
    ScenarioContext scenario = ScenarioContext.current();
    TestCluster.await("the request runs", () -> scenario.runs() == 1);
  }

  /** Repeats the request under the same id at the owner. */
  @When("the caller repeats the request at the owner")
  public void repeatAtOwner() {
    repeat(0);
  }

  /** Repeats the request under the same id at the first successor. */
  @When("the caller repeats the request at the first successor")
  public void repeatAtSuccessor() {
    repeat(1);
  }

  private static void repeat(int place) {
    ScenarioContext scenario = ScenarioContext.current();
    String host = scenario.chain().get(place);
    scenario.answer(TestCluster.join(scenario.post(host, Map.of())));
  }

  /** Waits for the answer to the first sending. */
  @When("the caller waits for the answer")
  public void awaitFirst() {
    ScenarioContext scenario = ScenarioContext.current();
    scenario.answer(TestCluster.join(scenario.first()));
  }

  /** Checks that the answer is whole and belongs to the request. */
  @Then("the caller gets the whole answer to its request")
  public void whole() {
    ScenarioContext scenario = ScenarioContext.current();
    if (scenario.isChat()) {
      ResponseAssertions.isWholeStream(scenario.answer(), scenario.id(), ScenarioContext.PROMPT);
    } else {
      ResponseAssertions.isResult(scenario.answer(), scenario.id(), ScenarioContext.CALL);
    }
  }

  /** Checks a problem document's statement. */
  @Then("the caller is told {string} about whether it ran")
  public void told(String ran) {
    assertThat(TestCluster.json(ScenarioContext.current().answer()).path("ran").asText())
        .as(ScenarioContext.current().answer().text())
        .isEqualTo(ran);
  }

  /** Checks the count at the endpoint. */
  @Then("the request ran once")
  public void ranOnce() {
    assertThat(ScenarioContext.current().runs()).isEqualTo(1);
  }

  /** Sends registrations under one ticket and waits for all answers. */
  @When("a caller sends {int} registrations at once")
  public void sendCalls(int count) {
    ScenarioContext scenario = ScenarioContext.current();
    scenario.chooseCall();
    scenario.sendMany(count, scenario.chain().get(0));
  }

  /** Checks answers and counts of many registrations. */
  @Then("each registration is answered and ran once")
  public void eachRanOnce() {
    ScenarioContext scenario = ScenarioContext.current();
    scenario
        .many()
        .forEach(
            (id, answer) -> {
              ResponseAssertions.isResult(TestCluster.join(answer), id, ScenarioContext.CALL);
              assertThat(scenario.world().effects(id)).isEqualTo(1);
            });
  }

  /** Checks the count at the endpoint. */
  @Then("the request did not run")
  public void didNotRun() {
    assertThat(ScenarioContext.current().runs()).isZero();
  }
}
