package io.samphiredyke.daemon.acceptance;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.standins.engine.EngineFaults;
import io.samphiredyke.standins.plain.PlainFaults;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Steps that make endpoints fail. */
public final class EndpointSteps {

  private NetworkProxy relay;

  /** Places a relay before the plain service that delivers nothing. */
  @Given("the plain service is reached over a link that holds everything back")
  public void heldLink() {
    TestEnvironment world = ScenarioContext.current().world();
    relay = world.closeAtEnd(NetworkProxy.to(world.cluster().plain().address()));
    relay.holdNewConnections();
    world.moveRunner(relay.address());
  }

  /** Waits until the owner has connected. */
  @Given("the owner has dispatched it into the link")
  public void dispatchedIntoLink() {
    TestCluster.await("a connection to the endpoint", () -> relay.connections() > 0);
  }

  /** Makes the link work, without what was on its way. */
  @When("the link works again without what was on its way")
  public void linkWorks() {
    relay.cutAll();
  }

  /** Adds an endpoint whose port is closed. */
  @Given("an endpoint for 2 calls at a time and one that refuses connections")
  public void refusingEndpoint() throws IOException {
    TestEnvironment world = ScenarioContext.current().world();
    int port;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = socket.getLocalPort();
    }
    InetSocketAddress closed = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    InetSocketAddress open = world.cluster().plain().address();
    Endpoint limited = world.runner("runner1", open).maxConcurrency(2).build();
    world.isInFirstRecord(limited);
    world.publish(limited);
    long offset = world.publish(world.runner("runner2", closed).build());
    world.awaitInForce(offset, world.hosts());
  }

  /** Loses the next answer of the plain service after its effect. */
  @Given("the plain service loses its next answer after the effect")
  public void loseAnswer() {
    PlainFaults faults = new PlainFaults(1, 0, 0, 1, false, false, false);
    TestCluster.join(ScenarioContext.current().world().cluster().plain().setFaults(faults));
  }

  /** Cuts each stream of the engine. */
  @Given("the engine cuts each stream after {int} tokens")
  public void cutStreams(int tokens) {
    EngineFaults faults = new EngineFaults(1, false, false, tokens, 0, 0, false, false);
    TestCluster.join(ScenarioContext.current().world().cluster().engine().setFaults(faults));
  }

  /** Makes the engine's open connections silent. */
  @When("the open connections of the engine go silent")
  public void silenceEngine() {
    EngineFaults faults = new EngineFaults(1, true, false, 0, 0, 0, false, false);
    TestCluster.join(ScenarioContext.current().world().cluster().engine().setFaults(faults));
  }

  /** Makes the plain service's open connections silent. */
  @When("the open connections of the plain service go silent")
  public void silencePlain() {
    PlainFaults faults = new PlainFaults(1, 0, 0, 0, false, false, true);
    TestCluster.join(ScenarioContext.current().world().cluster().plain().setFaults(faults));
  }

  /** Lets the engine lose everything. */
  @When("the engine dies and starts again")
  public void crashEngine() {
    EngineFaults faults = new EngineFaults(1, false, false, 0, 0, 0, false, true);
    TestCluster.join(ScenarioContext.current().world().cluster().engine().setFaults(faults));
  }
}
