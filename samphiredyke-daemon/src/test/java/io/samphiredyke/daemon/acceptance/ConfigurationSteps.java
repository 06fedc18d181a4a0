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

/** Steps in which operators publish changes and the log fails. */
public final class ConfigurationSteps {

  private static final String RECORDS_PATH = "/v1/streams/samphiredyke-configuration/records";
  private static final long RECORD_TIME_MILLIS = 1_700_000_000_000L;
  private static final int DISCARD_PORT = 9;

  private long offset;
  private HttpResponse appendResponse;

  private static TestEnvironment environment() {
    return ScenarioContext.current().environment();
  }

  private static void setFaults(LogFaults faults) {
    TestCluster.join(environment().cluster().log().setFaults(faults));
  }

  /** Publishes a change and waits until it is active on all running hosts. */
  @Given("a change of the configuration is active on all hosts")
  public void publishChange() {
    String before = digest();
    offset = environment().publish(drainingEndpoint(1));
    environment().awaitActive(offset, ScenarioContext.current().running());
    assertThat(digest()).isNotEqualTo(before);
  }

  /** Returns a draining endpoint; the generation distinguishes its variants. */
  private static Endpoint drainingEndpoint(int generation) {
    return environment()
        .plainEndpoint("spare", new InetSocketAddress("127.0.0.1", DISCARD_PORT))
        .state(EndpointState.LEAVING)
        .generation(generation)
        .build();
  }

  /** Makes all requests to the log fail and waits until all running hosts have noticed. */
  @Given("the log is unavailable")
  public void startOutage() {
    setFaults(new LogFaults(LogFaults.Outage.UNAVAILABLE, 0, 0, 0, 0, false));
    for (String host : ScenarioContext.current().running()) {
      TestCluster.await("failed polls of the log by " + host, () -> failedPolls(host) > 1);
    }
  }

  private static long failedPolls(String host) {
    return environment().cluster().status(host).path("configuration").path("logFailures").asLong();
  }

  /** Ends the outage of the log. */
  @When("the log is available again")
  public void endOutage() {
    setFaults(LogFaults.NONE);
  }

  /** Stalls the open connections of the log. */
  @When("the open connections of the log stall")
  public void stallLogConnections() {
    setFaults(new LogFaults(null, 0, 0, 0, 0, true));
  }

  /** Publishes a change over a new connection and waits until it is active on all hosts. */
  @Then("a change that is published over a new connection is active on all hosts")
  public void publishOverNewConnection() {
    String before = digest();
    try (HttpClient fresh =
        new HttpClient(environment().cluster().group(), HttpClientOptions.defaults())) {
      HttpResponse response =
          TestCluster.join(fresh.send(appendRequest("record-a", drainingEndpoint(5))));
      offset = TestCluster.json(response).path("offset").asLong();
    }
    environment().awaitActive(offset, environment().hosts());
    assertThat(digest()).isNotEqualTo(before);
  }

  /** Makes the log lose its next response to an append. */
  @Given("the log loses the next response to an append")
  public void loseAppendResponse() {
    setFaults(new LogFaults(null, 1, 0, 0, 0, false));
  }

  /** Asserts that no running host has reverted to an earlier configuration. */
  @Then("the change is still active on all hosts")
  public void assertStillActive() {
    for (String host : ScenarioContext.current().running()) {
      assertThat(environment().offsetOn(host)).as(host).isGreaterThanOrEqualTo(offset);
    }
  }

  /** Waits until the change is active on one host. */
  @Then("the change is active on {word}")
  public void assertActiveOn(String host) {
    environment().awaitActive(offset, List.of(host));
  }

  /** Asserts that all running hosts report the same digest of the configuration. */
  @Then("all hosts have the same configuration")
  public void assertSameOnAllHosts() {
    Set<String> digests =
        ScenarioContext.current().running().stream()
            .map(host -> environment().cluster().status(host).path("configuration").path("digest"))
            .map(JsonNode::asText)
            .collect(Collectors.toSet());
    assertThat(digests).hasSize(1).doesNotContain("");
  }

  private static CompletableFuture<HttpResponse> append(String recordId, Endpoint item) {
    return environment().cluster().client().send(appendRequest(recordId, item));
  }

  private static HttpRequest appendRequest(String recordId, Endpoint item) {
    ConfigurationRecord record =
        ConfigurationRecord.ofChanges(
            recordId, "operator", RECORD_TIME_MILLIS, List.of(Change.put(item, 0)));
    byte[] body = ConfigurationCodec.encode(record);
    return HttpRequest.post(environment().cluster().log().address(), RECORDS_PATH, body).build();
  }

  /** Publishes a record, and publishes it again because the first response is lost. */
  @When("an operator publishes a change, receives no response, and publishes it again")
  public void publishTwice() {
    assertThat(append("record-a", drainingEndpoint(2))).failsWithin(TestCluster.WAIT_LIMIT);
    appendResponse = TestCluster.join(append("record-a", drainingEndpoint(2)));
    offset = TestCluster.json(appendResponse).path("offset").asLong();
  }

  /** Asserts that the log has both copies and that the item has the version of the first copy. */
  @Then("the change is active once")
  public void assertActiveOnce() {
    assertThat(offset).isEqualTo(2);
    environment().awaitActive(offset, environment().hosts());
    assertChangeApplies(offset);
  }

  /** Asserts the version of the item: only a change based on its current version applies. */
  private static void assertChangeApplies(long base) {
    String before = digest();
    ConfigurationRecord record =
        ConfigurationRecord.ofChanges(
            "record-next",
            "operator",
            RECORD_TIME_MILLIS,
            List.of(Change.put(drainingEndpoint(9), base)));
    HttpResponse response =
        TestCluster.join(
            environment()
                .cluster()
                .client()
                .send(
                    HttpRequest.post(
                            environment().cluster().log().address(),
                            RECORDS_PATH,
                            ConfigurationCodec.encode(record))
                        .build()));
    long next = TestCluster.json(response).path("offset").asLong();
    environment().awaitActive(next, environment().hosts());
    assertThat(digest()).isNotEqualTo(before);
  }

  private static String digest() {
    String host = environment().hosts().iterator().next();
    return environment().cluster().status(host).path("configuration").path("digest").asText();
  }

  /** Publishes two changes that are based on the same version. */
  @When("two operators publish changes based on the same version of an endpoint")
  public void publishConcurrently() {
    String before = digest();
    TestCluster.join(append("record-a", drainingEndpoint(3)));
    environment().awaitActive(1, environment().hosts());
    String winner = digest();
    assertThat(winner).isNotEqualTo(before);
    TestCluster.join(append("record-b", drainingEndpoint(4)));
    offset = 2;
    environment().awaitActive(offset, environment().hosts());
    assertThat(digest()).isEqualTo(winner);
  }

  /** Asserts that a change based on the version of the first change applies. */
  @Then("the first change is active and the second is not")
  public void assertFirstChangeActive() {
    assertChangeApplies(2);
  }

  /** Stops a host without a drain. */
  @Given("{word} is stopped")
  public void stopHost(String host) {
    environment().stopHost(host);
  }

  /** Starts a stopped host. */
  @When("{word} is started")
  public void startHost(String host) {
    environment().startHost(host);
  }
}
