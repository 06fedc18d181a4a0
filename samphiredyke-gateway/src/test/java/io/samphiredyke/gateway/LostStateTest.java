package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.standin.StoreStandIn;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Failure: the store is unavailable, and the only host with a configuration is stopping. */
@Timeout(60)
class LostStateTest extends GatewayHarness {

  @Test
  void startingHostLoadsTheStateOfTheOneThatStops() {
    RunningGateway stopping = startConfiguredGateway();
    store.setMode(StoreStandIn.Mode.BUSY);
    stopping.gateway().drain();
    RunningGateway starting = startGateway("host-2", List.of(stopping.peerAddress()));
    await(() -> starting.gateway().isReady());
    stopping.gateway().peers().closeSocket();
    assertThat(starting.gateway().configurationVersion()).isEqualTo(1);
    assertThat(get(starting, "/safe/x").statusCode()).isEqualTo(200);
  }
}
