package io.samphiredyke.gateway;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Hosts of a group that fail. */
@Timeout(90)
class HostFailureTest extends GatewayHarness {

  /** Hosts of the harness once had one id in common, so that others saw a lost one as alive. */
  @Test
  void eachLostHostIsDetected() {
    List<RunningGateway> hosts = new ArrayList<>(List.of(startConfiguredGateway()));
    for (int i = 2; i <= 4; i++) {
      hosts.add(startGateway("host-" + i, List.of(hosts.get(0).peerAddress())));
    }
    while (hosts.size() > 1) {
      hosts.forEach(each -> await(() -> each.gateway().readyAddresses().size() == hosts.size()));
      hosts.remove(0).gateway().peers().closeSocket();
    }
  }
}
