package io.samphiredyke.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections through a peer, and those that probes open, carry the id of a request once. */
@Timeout(60)
class TunnelIdsTest extends LostPathFixture {

  /** Guards against a copy of an earlier response that is taken for that to the same id. */
  @Test
  void tunnelCarriesEachIdOnce() throws IOException {
    directAddress = refusingAddress();
    for (String id : List.of("a", "b", "a", "b", "c")) {
      assertThat(send(id).join()).isEqualTo("own");
    }
    assertThat(paths.tunnelledConnections()).isEqualTo(2);
    assertThat(endpoint.connections()).isEqualTo(2);
  }

  @Test
  void connectionOfProbeCarriesEachIdOnce() throws Exception {
    InetSocketAddress real = directAddress;
    directAddress = refusingAddress();
    assertThat(send("a").join()).isEqualTo("own");
    directAddress = real;
    await(
        () -> {
          loop.execute(pool::checkPaths);
          return !isLost();
        });
    await(() -> onLoop(tunnels::openTunnels) == 0);
    int opened = endpoint.connections();
    for (String id : List.of("a", "b", "a", "b", "c")) {
      assertThat(send(id).join()).isEqualTo("own");
    }
    assertThat(endpoint.connections()).isEqualTo(opened + 1);
    assertThat(paths.tunnelledConnections()).isEqualTo(1);
  }
}
