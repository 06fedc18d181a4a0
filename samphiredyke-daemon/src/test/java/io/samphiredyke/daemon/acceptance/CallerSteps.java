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

/** Steps of resumes, of other customers and of hosts in other data centres. */
public final class CallerSteps {

  /** Resumes at the owner. */
  @When("the caller resumes the stream at the owner after event {int}")
  public void resumeAtOwner(int event) {
    resume(0, event);
  }

  /** Resumes at the first successor. */
  @When("the caller resumes the stream at the first successor after event {int}")
  public void resumeAtSuccessor(int event) {
    resume(1, event);
  }

  private static void resume(int place, int event) {
    ScenarioContext scenario = ScenarioContext.current();
    Map<String, String> headers = Map.of("last-event-id", Integer.toString(event));
    String host = scenario.chain().get(place);
    scenario.answer(TestCluster.join(scenario.post(host, headers)));
  }

  /** Checks the numbers and the text of the rest. */
  @Then("it gets the rest of the answer from event {int} on")
  public void rest(int first) {
    ScenarioContext scenario = ScenarioContext.current();
    HttpResponse answer = scenario.answer();
    assertThat(answer.status()).as(answer.text()).isEqualTo(200);
    List<SseEvent> events = ResponseAssertions.eventsOf(answer.body());
    List<String> ids = events.stream().map(SseEvent::id).toList();
    assertThat(ids.get(0)).isEqualTo(Integer.toString(first));
    assertThat(ids).hasSize(Integer.parseInt(ids.get(ids.size() - 1)) - first + 1);
    assertThat(events.get(events.size() - 1).isDone()).isTrue();
    ResponseAssertions.isEndOfText(
        ResponseAssertions.textOf(events),
        scenario.id(),
        ScenarioContext.PROMPT,
        ScenarioContext.TOKENS);
  }

  /** Repeats the request with another customer's key. */
  @When("another customer repeats the request at the owner")
  public void otherCustomer() {
    ScenarioContext scenario = ScenarioContext.current();
    Map<String, String> headers =
        Map.of("authorization", TestCluster.bearer(TestConfiguration.BETA));
    scenario.answer(TestCluster.join(scenario.post(scenario.chain().get(0), headers)));
  }

  /** Checks a status. */
  @Then("the answer's status is {int}")
  public void status(int status) {
    assertThat(ScenarioContext.current().answer().status()).isEqualTo(status);
  }

  /** Sends a head that announces a body, and no body. */
  @When("the caller sends only the head of the request to {word}")
  public void headOnly(String host) throws IOException {
    ScenarioContext scenario = ScenarioContext.current();
    InetSocketAddress address = scenario.world().cluster().callerAddress(host);
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
      scenario.answer(read(socket.getInputStream()));
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
    return new HttpResponse(status, Map.of(), bytes);
  }

  /** Checks the addresses of a problem document. */
  @Then("the answer names the address of {word} only")
  public void namesAddress(String host) {
    ScenarioContext scenario = ScenarioContext.current();
    JsonNode addresses = TestCluster.json(scenario.answer()).path("addresses");
    int port = scenario.world().cluster().callerAddress(host).getPort();
    assertThat(addresses).as(scenario.answer().text()).hasSize(1);
    assertThat(addresses.get(0).asText()).endsWith(":" + port);
  }

  /** Limits the plain service and makes it slow. */
  @Given("the plain service takes {int} call at a time, for {int} seconds each")
  public void slowService(int calls, int seconds) {
    TestEnvironment world = ScenarioContext.current().world();
    double factor = seconds * 1000.0 / TestEnvironment.CALL_TIME.toMillis();
    PlainFaults faults = new PlainFaults(factor, 0, 0, 0, false, false, false);
    TestCluster.join(world.cluster().plain().setFaults(faults));
    InetSocketAddress address = world.cluster().plain().address();
    var limited = world.runner("runner1", address).maxConcurrency(calls).build();
    world.isInFirstRecord(limited);
    world.awaitInForce(world.publish(limited), world.hosts());
  }

  /** Sends registrations. */
  @Given("a caller sends {int} registrations at once without waiting")
  public void sendWithoutWaiting(int count) {
    ScenarioContext scenario = ScenarioContext.current();
    scenario.chooseCall();
    scenario.sendMany(count, scenario.chain().get(0));
  }

  /** Waits for one effect. */
  @Given("one of them has begun")
  public void oneBegun() {
    TestCluster.await("one registration runs", () -> effects() == 1);
  }

  private static long effects() {
    ScenarioContext scenario = ScenarioContext.current();
    return scenario.many().keySet().stream().mapToLong(scenario.world()::effects).sum();
  }

  /** Takes away data centres. */
  @When("the registrations are limited to data centre {word}")
  public void limit(String dataCentre) {
    TestEnvironment world = ScenarioContext.current().world();
    Service limited =
        Service.builder()
            .name(TestConfiguration.FILING)
            .kind(ServiceKind.PLAIN)
            .tier("standard")
            .dataCentres(Set.of(dataCentre))
            .build();
    world.isInFirstRecord(limited);
    world.awaitInForce(world.publish(limited), world.hosts());
  }

  /** Checks who ran. */
  @Then("one registration is answered, and the others are told {string} and did not run")
  public void oneAnswered(String ran) {
    ScenarioContext scenario = ScenarioContext.current();
    int answered = 0;
    for (Map.Entry<String, java.util.concurrent.CompletableFuture<HttpResponse>> sent :
        scenario.many().entrySet()) {
      HttpResponse answer = TestCluster.join(sent.getValue());
      if (answer.status() == 200) {
        answered++;
        continue;
      }
      assertThat(TestCluster.json(answer).path("ran").asText()).as(answer.text()).isEqualTo(ran);
      assertThat(scenario.world().effects(sent.getKey())).isZero();
    }
    assertThat(answered).isEqualTo(1);
    assertThat(effects()).isEqualTo(1);
  }
}
