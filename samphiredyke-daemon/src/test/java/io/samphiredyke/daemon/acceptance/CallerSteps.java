package io.samphiredyke.daemon.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.config.ServiceKind;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.daemon.testing.TestConfiguration;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.net.sse.SseEvent;
import io.samphiredyke.standins.plain.PlainFaults;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Steps with resumed streams, other customers and hosts in other data centres. */
public final class CallerSteps {

  /** Resumes the stream at the owner. */
  @When("the caller resumes the stream at the owner after event {int}")
  public void resumeAtOwner(int event) {
    resume(0, event);
  }

  /** Resumes the stream at the first successor. */
  @When("the caller resumes the stream at the first successor after event {int}")
  public void resumeAtSuccessor(int event) {
    resume(1, event);
  }

  private static void resume(int position, int event) {
    ScenarioContext scenario = ScenarioContext.current();
    Map<String, String> headers = Map.of("last-event-id", Integer.toString(event));
    String host = scenario.chain().get(position);
    scenario.response(TestCluster.join(scenario.post(host, headers)));
  }

  /** Asserts the event numbers and the text of the rest of the response. */
  @Then("the caller receives the rest of the response from event {int} on")
  public void assertRestOfResponse(int first) {
    ScenarioContext scenario = ScenarioContext.current();
    HttpResponse response = scenario.response();
    assertThat(response.status()).as(response.text()).isEqualTo(200);
    List<SseEvent> events = ResponseAssertions.eventsOf(response.body());
    List<String> ids = events.stream().map(SseEvent::id).toList();
    assertThat(ids.get(0)).isEqualTo(Integer.toString(first));
    assertThat(ids).hasSize(Integer.parseInt(ids.get(ids.size() - 1)) - first + 1);
    assertThat(events.get(events.size() - 1).isDone()).isTrue();
    ResponseAssertions.assertEndOfText(
        ResponseAssertions.textOf(events),
        scenario.id(),
        ScenarioContext.PROMPT,
        ScenarioContext.TOKENS);
  }

  /** Sends the request under the same id with another customer's key. */
  @When("another customer sends the same request to the owner")
  public void sendAsOtherCustomer() {
    ScenarioContext scenario = ScenarioContext.current();
    Map<String, String> headers =
        Map.of("authorization", TestCluster.bearer(TestConfiguration.BETA));
    scenario.response(TestCluster.join(scenario.post(scenario.chain().get(0), headers)));
  }

  /** Asserts the HTTP status of the response. */
  @Then("the response status is {int}")
  public void assertStatus(int status) {
    assertThat(ScenarioContext.current().response().status()).isEqualTo(status);
  }

  /** Sends the head of a request that announces a body, but not the body. */
  @When("the caller sends only the head of the request to {word}")
  public void sendHeadOnly(String host) throws IOException {
    ScenarioContext scenario = ScenarioContext.current();
    InetSocketAddress address = scenario.environment().cluster().callerAddress(host);
    String head =
        "POST /v1/chat/completions HTTP/1.1\r\nhost: samphiredyke\r\ncontent-length: 1000\r\n"
            + "authorization: "
            + TestCluster.bearer(scenario.customer())
            + "\r\nsamphiredyke-service: "
            + TestConfiguration.CHAT
            + "\r\n\r\n";
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout((int) TestCluster.WAIT_LIMIT.toMillis());
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      scenario.response(read(socket.getInputStream()));
    }
  }

  private static HttpResponse read(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    int next = in.read();
    while (next >= 0 && !text.toString().endsWith("}")) {
      text.append((char) next);
      next = text.toString().endsWith("}") ? -1 : in.read();
    }
    int status = Integer.parseInt(text.substring("HTTP/1.1 ".length()).substring(0, 3));
    int body = text.indexOf("\r\n\r\n") + 4;
    byte[] bytes = text.substring(body).getBytes(StandardCharsets.UTF_8);
    return new HttpResponse(status, Map.of(), bytes, false);
  }

  /** Asserts the addresses in a problem document. */
  @Then("the response names only the address of {word}")
  public void assertAddress(String host) {
    ScenarioContext scenario = ScenarioContext.current();
    JsonNode addresses = TestCluster.json(scenario.response()).path("addresses");
    int port = scenario.environment().cluster().callerAddress(host).getPort();
    assertThat(addresses).as(scenario.response().text()).hasSize(1);
    assertThat(addresses.get(0).asText()).endsWith(":" + port);
  }

  /** Limits the concurrency of the plain service and slows it down. */
  @Given("the plain service processes {int} call at a time, for {int} seconds each")
  public void slowPlainService(int calls, int seconds) {
    TestEnvironment environment = ScenarioContext.current().environment();
    double factor = seconds * 1000.0 / TestEnvironment.CALL_TIME.toMillis();
    PlainFaults faults = new PlainFaults(factor, 0, 0, 0, false, false, false);
    TestCluster.join(environment.cluster().plain().setFaults(faults));
    InetSocketAddress address = environment.cluster().plain().address();
    var limited = environment.plainEndpoint("runner1", address).maxConcurrency(calls).build();
    environment.setInitialVersion(limited);
    environment.awaitActive(environment.publish(limited), environment.hosts());
  }

  /** Sends registrations under one ticket. */
  @Given("a caller sends {int} concurrent registrations without waiting")
  public void sendWithoutWaiting(int count) {
    ScenarioContext scenario = ScenarioContext.current();
    scenario.prepareCall();
    scenario.sendBatch(count, scenario.chain().get(0));
  }

  /** Waits for the effect of one registration. */
  @Given("the endpoint has started to process one of them")
  public void awaitOneExecution() {
    TestCluster.await("the effect of one registration", () -> effects() == 1);
  }

  private static long effects() {
    ScenarioContext scenario = ScenarioContext.current();
    return scenario.batch().keySet().stream().mapToLong(scenario.environment()::effects).sum();
  }

  /** Permits the plain service in one data centre only. */
  @When("the registrations are limited to data centre {word}")
  public void limitDataCentres(String dataCentre) {
    TestEnvironment environment = ScenarioContext.current().environment();
    Service limited =
        Service.builder()
            .name(TestConfiguration.FILING)
            .kind(ServiceKind.PLAIN)
            .tier("standard")
            .dataCentres(Set.of(dataCentre))
            .build();
    environment.setInitialVersion(limited);
    environment.awaitActive(environment.publish(limited), environment.hosts());
  }

  /** Asserts that one registration was executed and the others report that they were not. */
  @Then("one registration is answered, the others have the execution status {string} and no effect")
  public void assertOneExecuted(String ran) {
    ScenarioContext scenario = ScenarioContext.current();
    int executed = 0;
    for (Map.Entry<String, java.util.concurrent.CompletableFuture<HttpResponse>> sent :
        scenario.batch().entrySet()) {
      HttpResponse response = TestCluster.join(sent.getValue());
      if (response.status() == 200) {
        executed++;
        continue;
      }
      assertThat(TestCluster.json(response).path("ran").asText())
          .as(response.text())
          .isEqualTo(ran);
      assertThat(scenario.environment().effects(sent.getKey())).isZero();
    }
    assertThat(executed).isEqualTo(1);
    assertThat(effects()).isEqualTo(1);
  }
}
