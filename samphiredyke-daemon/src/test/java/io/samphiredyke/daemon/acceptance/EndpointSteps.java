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

/** Steps that inject endpoint failures. */
public final class EndpointSteps {

  private NetworkProxy proxy;

  /** Puts a proxy before the plain service that forwards no data. */
  @Given("the plain service is behind a proxy that forwards no data")
  public void startStalledProxy() {
    TestEnvironment environment = ScenarioContext.current().environment();
    proxy = environment.closeAtEnd(NetworkProxy.to(environment.cluster().plain().address()));
    proxy.stallNewConnections();
    environment.movePlainEndpoint(proxy.address());
  }

  /** Waits until the owner has connected to the proxy. */
  @Given("the owner has dispatched the request to the proxy")
  public void awaitDispatchToProxy() {
    TestCluster.await("a connection to the proxy", () -> proxy.connectionCount() > 0);
  }

  /** Makes the proxy forward new connections, and drops the data in transit. */
  @When("the proxy drops the data in transit and works again")
  public void restoreProxy() {
    proxy.closeAllConnections();
  }

  /** Limits the plain service to two calls and adds an endpoint whose port is closed. */
  @Given("an endpoint for 2 concurrent calls and one that refuses connections")
  public void addRefusingEndpoint() throws IOException {
    TestEnvironment environment = ScenarioContext.current().environment();
    int port;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = socket.getLocalPort();
    }
    InetSocketAddress closed = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    InetSocketAddress open = environment.cluster().plain().address();
    Endpoint limited = environment.plainEndpoint("runner1", open).maxConcurrency(2).build();
    environment.setInitialVersion(limited);
    environment.publish(limited);
    long offset = environment.publish(environment.plainEndpoint("runner2", closed).build());
    environment.awaitActive(offset, environment.hosts());
  }

  /** Makes the plain service lose its next response after the effect. */
  @Given("the plain service loses its next response after the effect")
  public void loseResponse() {
    PlainFaults faults = new PlainFaults(1, 0, 0, 1, false, false, false);
    TestCluster.join(ScenarioContext.current().environment().cluster().plain().setFaults(faults));
  }

  /** Makes the engine close each stream after a number of tokens. */
  @Given("the engine cuts each stream after {int} tokens")
  public void cutStreams(int tokens) {
    EngineFaults faults = new EngineFaults(1, false, false, tokens, 0, 0, false, false);
    TestCluster.join(ScenarioContext.current().environment().cluster().engine().setFaults(faults));
  }

  /** Stalls the open connections of the engine. */
  @When("the open connections of the engine stall")
  public void stallEngineConnections() {
    EngineFaults faults = new EngineFaults(1, true, false, 0, 0, 0, false, false);
    TestCluster.join(ScenarioContext.current().environment().cluster().engine().setFaults(faults));
  }

  /** Stalls the open connections of the plain service. */
  @When("the open connections of the plain service stall")
  public void stallPlainConnections() {
    PlainFaults faults = new PlainFaults(1, 0, 0, 0, false, false, true);
    TestCluster.join(ScenarioContext.current().environment().cluster().plain().setFaults(faults));
  }

  /** Crashes the engine, which loses its state. */
  @When("the engine crashes and restarts")
  public void crashEngine() {
    EngineFaults faults = new EngineFaults(1, false, false, 0, 0, 0, false, true);
    TestCluster.join(ScenarioContext.current().environment().cluster().engine().setFaults(faults));
  }
}
