package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.StoreStandIn;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Hosts that were removed, some of which the store still lists. */
@Timeout(60)
class ReplacedHostsTest extends GatewayHarness {

  private static final int REMOVED = 20;

  /** Time in which a host may not wait longer for the store, with a margin for a busy machine. */
  private static final Duration SHORT = Duration.ofSeconds(3);

  private static CompletableFuture<Void> stop(RunningGateway running) {
    CompletableFuture<Void> ended = new CompletableFuture<>();
    DecisionLog log = new DecisionLog(new ByteArrayOutputStream(), System::currentTimeMillis);
    new GracefulShutdown(running.gateway(), log, () -> ended.complete(null)).begin();
    return ended;
  }

  private RunningGateway startRegistered() {
    RunningGateway host = startConfiguredGateway();
    await(() -> store.keys(StoreClient.HOST_TOPIC).contains("host-1"));
    return host;
  }

  /** Guards against hosts that grant a part of the slots because removed ones are listed. */
  @Test
  void removedHostsDoNotReduceWhatIsGrantedForever() {
    int port = freePorts(REMOVED);
    for (int i = 0; i < REMOVED; i++) {
      store.put(StoreClient.HOST_TOPIC, "removed-" + i, "127.0.0.1:" + (port + i));
    }
    RunningGateway host = startConfiguredGateway();
    assertThat(host.gateway().peers().isSchedulerOf("plain")).isFalse();
    await(() -> host.gateway().peers().isSchedulerOf("plain"));
  }

  @Test
  void stoppedHostIsNoLongerListed() {
    RunningGateway host = startRegistered();
    stop(host).join();
    assertThat(store.keys(StoreClient.HOST_TOPIC)).isEmpty();
  }

  /** The next process of the host has another address. */
  @Test
  void addressOfTheNextProcessStaysListed() {
    RunningGateway host = startRegistered();
    store.put(StoreClient.HOST_TOPIC, "host-1", "127.0.0.1:1");
    stop(host).join();
    assertThat(store.value(StoreClient.HOST_TOPIC, "host-1")).isEqualTo("127.0.0.1:1");
  }

  @Test
  void hostsThatStopTogetherAreAllRemoved() {
    RunningGateway first = startRegistered();
    List<RunningGateway> hosts =
        List.of(
            first,
            startGateway("host-2", List.of(first.peerAddress())),
            startGateway("host-3", List.of(first.peerAddress())));
    await(() -> store.keys(StoreClient.HOST_TOPIC).size() == hosts.size());
    List<CompletableFuture<Void>> ended = hosts.stream().map(ReplacedHostsTest::stop).toList();
    ended.forEach(CompletableFuture::join);
    await(() -> store.keys(StoreClient.HOST_TOPIC).isEmpty());
  }

  @Test
  void storeThatDoesNotAnswerDoesNotDelayTheStop() {
    RunningGateway host = startRegistered();
    store.setMode(StoreStandIn.Mode.ANSWERS_LOST);
    assertThat(host.gateway().registry().unregister()).succeedsWithin(SHORT);
    store.setMode(StoreStandIn.Mode.BUSY);
    assertThat(stop(host)).succeedsWithin(Duration.ofMillis(graceMillis));
  }
}
