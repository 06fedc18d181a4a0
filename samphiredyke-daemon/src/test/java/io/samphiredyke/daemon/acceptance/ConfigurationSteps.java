package io.samphiredyke.daemon.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.samphiredyke.core.config.Change;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.EndpointState;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.net.configuration.ConfigurationCodec;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.standins.log.LogFaults;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/** Steps of operators and of the log. */
public final class ConfigurationSteps {

  private static final String RECORDS = "/v1/streams/samphiredyke-configuration/records";
  private static final long TIME = 1_700_000_000_000L;
  private static final int DISCARD_PORT = 9;

  private long offset;
  private HttpResponse firstAnswer;

  private static TestEnvironment world() {
    return ScenarioContext.current().world();
  }

  private static void setFaults(LogFaults faults) {
    TestCluster.join(world().cluster().log().setFaults(faults));
  }

  /** Publishes a change and waits for it. */
  @Given("a change of the configuration is in force everywhere")
  public void change() {
    String before = digest();
    offset = world().publish(spare(1));
    world().awaitInForce(offset, ScenarioContext.current().running());
    assertThat(digest()).isNotEqualTo(before);
  }

  /** Returns an endpoint that takes no work, in one of its forms. */
  private static Endpoint spare(int generation) {
    return world()
        .runner("spare", new InetSocketAddress("127.0.0.1", DISCARD_PORT))
        .state(EndpointState.LEAVING)
        .generation(generation)
        .build();
  }

  /** Lets all requests to the log fail. */
  @Given("the log is out of service")
  public void outage() {
    setFaults(new LogFaults(LogFaults.Outage.UNAVAILABLE, 0, 0, 0, 0, false));
    for (String host : ScenarioContext.current().running()) {
      TestCluster.await("failed polls on " + host, () -> failedPolls(host) > 1);
    }
  }

  private static long failedPolls(String host) {
    return world().cluster().status(host).path("configuration").path("logFailures").asLong();
  }

  /** Lets the log work. */
  @When("the log is in service again")
  public void endOfOutage() {
    setFaults(LogFaults.NONE);
  }

  /** Makes the open connections silent. */
  @When("the open connections of the log go silent")
  public void silence() {
    setFaults(new LogFaults(null, 0, 0, 0, 0, true));
  }

  /** Publishes over a connection that is not one of the silent ones. */
  @Then("a change that is published over a new connection is in force everywhere")
  public void changeOverNewConnection() {
    String before = digest();
    try (HttpClient fresh =
        new HttpClient(world().cluster().group(), HttpClientOptions.defaults())) {
      HttpResponse answer = TestCluster.join(fresh.send(appendRequest("record-a", spare(5))));
      offset = TestCluster.json(answer).path("offset").asLong();
    }
    world().awaitInForce(offset, world().hosts());
    assertThat(digest()).isNotEqualTo(before);
  }

  /** Loses an answer. */
  @Given("the log loses the next answer to an append")
  public void loseAnswer() {
    setFaults(new LogFaults(null, 1, 0, 0, 0, false));
  }

  /** Checks that no host went back. */
  @Then("the change is still in force everywhere")
  public void stillInForce() {
    for (String host : ScenarioContext.current().running()) {
      assertThat(world().offsetOn(host)).as(host).isGreaterThanOrEqualTo(offset);
    }
  }

  /** Checks one host. */
  @Then("the change is in force on {word}")
  public void inForceOn(String host) {
    world().awaitInForce(offset, List.of(host));
  }

  /** Compares the digests of all hosts. */
  @Then("all hosts have the same configuration")
  public void sameEverywhere() {
    Set<String> digests =
        ScenarioContext.current().running().stream()
            .map(host -> world().cluster().status(host).path("configuration").path("digest"))
            .map(JsonNode::asText)
            .collect(Collectors.toSet());
    assertThat(digests).hasSize(1).doesNotContain("");
  }

  private static CompletableFuture<HttpResponse> append(String recordId, Endpoint item) {
    return world().cluster().client().send(appendRequest(recordId, item));
  }

  private static HttpRequest appendRequest(String recordId, Endpoint item) {
    ConfigurationRecord record =
        ConfigurationRecord.ofChanges(recordId, "operator", TIME, List.of(Change.put(item, 0)));
    byte[] body = ConfigurationCodec.encode(record);
    return HttpRequest.post(world().cluster().log().address(), RECORDS, body).build();
  }

  /** Publishes one record twice, since the first answer is lost. */
  @When("an operator publishes a change, gets no answer, and publishes it again")
  public void publishTwice() {
    assertThat(append("record-a", spare(2))).failsWithin(TestCluster.WAIT_LIMIT);
    firstAnswer = TestCluster.join(append("record-a", spare(2)));
    offset = TestCluster.json(firstAnswer).path("offset").asLong();
  }

  /** Checks that both copies are in the log and the item has the version of the first. */
  @Then("the change is in force once")
  public void inForceOnce() {
    assertThat(offset).isEqualTo(2);
    world().awaitInForce(offset, world().hosts());
    changeOfVersionIsTaken(offset);
  }

  /** Checks a version by a change that is based on it: it is taken if the version is right. */
  private static void changeOfVersionIsTaken(long base) {
    String before = digest();
    ConfigurationRecord record =
        ConfigurationRecord.ofChanges(
            "record-next", "operator", TIME, List.of(Change.put(spare(9), base)));
    HttpResponse answer =
        TestCluster.join(
            world()
                .cluster()
                .client()
                .send(
                    HttpRequest.post(
                            world().cluster().log().address(),
                            RECORDS,
                            ConfigurationCodec.encode(record))
                        .build()));
    long next = TestCluster.json(answer).path("offset").asLong();
    world().awaitInForce(next, world().hosts());
    assertThat(digest()).isNotEqualTo(before);
  }

  private static String digest() {
    String host = world().hosts().iterator().next();
    return world().cluster().status(host).path("configuration").path("digest").asText();
  }

  /** Publishes two changes with the same base. */
  @When("two operators publish changes of the same version of an endpoint")
  public void race() {
    String before = digest();
    TestCluster.join(append("record-a", spare(3)));
    world().awaitInForce(1, world().hosts());
    String winner = digest();
    assertThat(winner).isNotEqualTo(before);
    TestCluster.join(append("record-b", spare(4)));
    offset = 2;
    world().awaitInForce(offset, world().hosts());
    assertThat(digest()).isEqualTo(winner);
  }

  /** Checks that a change based on the first one's version is taken. */
  @Then("the first change is in force and the second is not")
  public void firstWins() {
    changeOfVersionIsTaken(2);
  }

  /** Stops a host at once. */
  @Given("{word} is stopped")
  public void stopHost(String host) {
    world().stopHost(host);
  }

  /** Starts a host again. */
  @When("{word} is started")
  public void startHost(String host) {
    world().startHost(host);
  }
}
