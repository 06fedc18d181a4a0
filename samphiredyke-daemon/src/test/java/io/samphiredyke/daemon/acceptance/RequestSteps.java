package io.samphiredyke.daemon.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.samphiredyke.daemon.testing.TestCluster;
import java.util.Map;

/** Steps in which a caller sends requests and checks the responses. */
public final class RequestSteps {

  /** Gets a ticket without sending a request. */
  @Given("a caller has a ticket for a chat request")
  public void getTicketForChat() {
    ScenarioContext.current().prepareChat();
  }

  /** Sends a streamed chat request to its owner. */
  @Given("a caller sends a chat request to its owner")
  public void sendChat() {
    ScenarioContext scenario = ScenarioContext.current();
    scenario.prepareChat();
    scenario.sendChat(scenario.chain().get(0));
  }

  /** Sends a call to the plain service to its owner. */
  @Given("a caller sends a registration to its owner")
  public void sendCall() {
    ScenarioContext scenario = ScenarioContext.current();
    scenario.prepareCall();
    scenario.sendCall(scenario.chain().get(0));
  }

  /** Waits until the endpoint executes the request. */
  @Given("the endpoint has started to process the request")
  public void awaitExecution() {
    ScenarioContext scenario = ScenarioContext.current();
    TestCluster.await("the endpoint to execute the request", () -> scenario.executions() == 1);
  }

  /** Sends the request again under the same id to the owner. */
  @When("the caller retries the request at the owner")
  public void retryAtOwner() {
    retry(0);
  }

  /** Sends the request again under the same id to the first successor. */
  @When("the caller retries the request at the first successor")
  public void retryAtSuccessor() {
    retry(1);
  }

  private static void retry(int position) {
    ScenarioContext scenario = ScenarioContext.current();
    String host = scenario.chain().get(position);
    scenario.response(TestCluster.join(scenario.post(host, Map.of())));
  }

  /** Waits for the response to the first attempt. */
  @When("the caller waits for the response")
  public void awaitFirstResponse() {
    ScenarioContext scenario = ScenarioContext.current();
    scenario.response(TestCluster.join(scenario.firstResponse()));
  }

  /** Asserts that the response is complete and belongs to the request. */
  @Then("the caller receives the complete response to its request")
  public void assertCompleteResponse() {
    ScenarioContext scenario = ScenarioContext.current();
    if (scenario.isChat()) {
      ResponseAssertions.assertCompleteStream(
          scenario.response(), scenario.id(), ScenarioContext.PROMPT);
    } else {
      ResponseAssertions.assertPlainResult(
          scenario.response(), scenario.id(), ScenarioContext.CALL);
    }
  }

  /** Asserts the execution status in a problem document. */
  @Then("the caller receives the execution status {string}")
  public void assertExecutionStatus(String ran) {
    assertThat(TestCluster.json(ScenarioContext.current().response()).path("ran").asText())
        .as(ScenarioContext.current().response().text())
        .isEqualTo(ran);
  }

  /** Asserts the number of executions that the endpoint counted. */
  @Then("the request was executed exactly once")
  public void assertExecutedOnce() {
    assertThat(ScenarioContext.current().executions()).isEqualTo(1);
  }

  /** Sends registrations under one ticket. */
  @When("a caller sends {int} concurrent registrations")
  public void sendCalls(int count) {
    ScenarioContext scenario = ScenarioContext.current();
    scenario.prepareCall();
    scenario.sendBatch(count, scenario.chain().get(0));
  }

  /** Asserts the response and the number of effects of each registration. */
  @Then("each registration is answered and was executed exactly once")
  public void assertEachExecutedOnce() {
    ScenarioContext scenario = ScenarioContext.current();
    scenario
        .batch()
        .forEach(
            (id, response) -> {
              ResponseAssertions.assertPlainResult(
                  TestCluster.join(response), id, ScenarioContext.CALL);
              assertThat(scenario.environment().effects(id)).isEqualTo(1);
            });
  }

  /** Asserts that the endpoint counted no execution. */
  @Then("the request was not executed")
  public void assertNotExecuted() {
    assertThat(ScenarioContext.current().executions()).isZero();
  }
}
