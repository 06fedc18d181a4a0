package io.samphiredyke.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Exchanges of a host whose direct path to an endpoint is lost, with one peer that reaches it. */
@Timeout(60)
class LostPathTest extends LostPathFixture {

  @Test
  void directPathIsUsedWhereItWorks() {
    assertThat(exchange()).isEqualTo("own");
    assertThat(events).isEmpty();
  }

  @Test
  void refusedPathIsReplacedByPeer() throws IOException {
    directAddress = refusingAddress();
    assertThat(exchange()).isEqualTo("own");
    assertThat(isLost()).isTrue();
    assertThat(exchange()).isEqualTo("own");
    assertThat(paths.tunnelledConnections()).isEqualTo(1);
    assertThat(events)
        .containsExactly(
            "peer_tunnel_opened", "tunnel_opened", "path_lost", "sent_through", "sent_through");
  }

  @Test
  void hungPathIsReplacedByPeer() throws Exception {
    directAddress = hangingAddress();
    assertThat(exchange()).isEqualTo("own");
    await(this::isLost);
    assertThat(events)
        .as("the peer is used before the connection counts as hung")
        .containsSubsequence("tunnel_opened", "sent_through", "path_lost");
    assertThat(endpoint.timeLeftMillis())
        .as("without the time until the connection was open")
        .isBetween(1L, (long) TIME_LEFT_MILLIS - HEDGE_MILLIS);
  }

  /** Guards against a failover that waits for one peer after the other. */
  @Test
  void endpointThatHangsForAllHostsIsGivenUpInTime() throws Exception {
    directAddress = hangingAddress();
    peers = List.of(text(hangingAddress()), text(hangingAddress()), text(hangingAddress()));
    assertThat(exchange())
        .isInstanceOfSatisfying(
            ExchangeFailure.class,
            failure -> {
              assertThat(failure.isUnsent()).isTrue();
              assertThat(failure.reason()).isEqualTo("no connection within 500 ms");
            });
  }

  /** Sends two requests at once, of which one needs a new connection, and waits for the loss. */
  private void losePathWithIdleConnection() throws InterruptedException {
    sendTwice();
    await(this::isLost);
    assertThat(paths.tunnelledConnections()).isEqualTo(1);
  }

  /** Sends two requests in one turn of the event loop, so that they need two connections. */
  private void sendTwice() {
    for (CompletableFuture<Object> outcome : onLoop(() -> List.of(send(), send()))) {
      assertThat(outcome.join()).isEqualTo("own");
    }
  }

  @Test
  void idleDirectConnectionsOutliveRefusedOnes() throws Exception {
    assertThat(exchange()).isEqualTo("own");
    directAddress = refusingAddress();
    losePathWithIdleConnection();
    sendTwice();
    assertThat(paths.tunnelledConnections()).isEqualTo(1);
  }

  @Test
  void idleDirectConnectionsAreClosedWhenNewOnesHang() throws Exception {
    assertThat(exchange()).isEqualTo("own");
    directAddress = hangingAddress();
    losePathWithIdleConnection();
    sendTwice();
    assertThat(paths.tunnelledConnections()).isEqualTo(2);
  }

  @Test
  void pathThatIsBackIsFoundByProbeAndReplacesTheTunnel() throws Exception {
    InetSocketAddress real = directAddress;
    directAddress = refusingAddress();
    assertThat(exchange()).isEqualTo("own");
    directAddress = real;
    assertThat(onLoop(tunnels::openTunnels)).isEqualTo(1);
    await(
        () -> {
          loop.execute(pool::checkPaths);
          return !isLost();
        });
    assertThat(events).endsWith("path_back");
    await(() -> onLoop(tunnels::openTunnels) == 0);
    assertThat(exchange()).isEqualTo("own");
    assertThat(events).endsWith("path_back");
    assertThat(paths.tunnelledConnections()).isEqualTo(1);
  }

  @Test
  void endpointThatNoHostReachesIsAtFault() throws IOException {
    directAddress = refusingAddress();
    peerSideAddress = directAddress;
    assertThat(exchange())
        .isInstanceOfSatisfying(
            ExchangeFailure.class,
            failure -> {
              assertThat(failure.isUnsent()).isTrue();
              assertThat(failure.isPathSuspect()).isFalse();
            });
    assertThat(isLost()).isFalse();
  }

  @Test
  void endpointThatSomeOtherHostReachesIsNotAtFault() throws IOException {
    directAddress = refusingAddress();
    onLoop(() -> peerPaths.confirmedLost(endpoint.address(), loop.ticker().nanoTime()));
    assertThat(exchange())
        .isInstanceOfSatisfying(
            ExchangeFailure.class,
            failure -> {
              assertThat(failure.isUnsent()).isTrue();
              assertThat(failure.isPathSuspect()).isTrue();
            });
  }

  @Test
  void hostWithoutPeersFailsAsTheEndpointDoes() throws IOException {
    directAddress = refusingAddress();
    peers = List.of();
    assertThat(exchange())
        .isInstanceOfSatisfying(
            ExchangeFailure.class,
            failure -> {
              assertThat(failure.isUnsent()).isTrue();
              assertThat(failure.isPathSuspect()).isFalse();
            });
  }

  @Test
  void requestOnSilentIdleConnectionLeadsToProbe() throws Exception {
    assertThat(exchange()).isEqualTo("own");
    isEndpointSilent = true;
    directAddress = hangingAddress();
    CompletableFuture<Object> silent = send();
    await(this::isLost);
    assertThat(silent).isNotDone();
    isEndpointSilent = false;
    assertThat(exchange()).isEqualTo("own");
    assertThat(events).contains("path_lost").endsWith("sent_through");
  }

  private void giveUpAfter(long millis) throws InterruptedException {
    isEndpointSilent = true;
    CompletableFuture<Object> silent = send();
    Thread.sleep(millis);
    loop.execute(() -> lastExchange.cancel());
    isEndpointSilent = false;
    assertThat(silent).isNotDone();
  }

  @Test
  void requestGivenUpSoonKeepsIdleConnections() throws Exception {
    sendTwice();
    giveUpAfter(50);
    assertThat(exchange()).isEqualTo("own");
    assertThat(endpoint.connections()).isEqualTo(2);
  }

  @Test
  void requestGivenUpAfterSilenceClosesIdleConnections() throws Exception {
    sendTwice();
    giveUpAfter(600);
    assertThat(endpoint.connections()).as("with that of the probe").isEqualTo(3);
    assertThat(exchange()).isEqualTo("own");
    assertThat(endpoint.connections()).isEqualTo(4);
    assertThat(isLost()).isFalse();
  }

  @Test
  void idleTunnelIsClosedWhenItsPeerLeaves() throws Exception {
    directAddress = refusingAddress();
    assertThat(exchange()).isEqualTo("own");
    peers = List.of();
    loop.execute(pool::checkPaths);
    await(() -> onLoop(tunnels::openTunnels) == 0);
  }
}
