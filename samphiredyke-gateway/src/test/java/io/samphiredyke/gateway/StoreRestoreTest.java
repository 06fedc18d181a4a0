package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.PlatformFixtures;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Behaviour of gateways when the store is restored from an older copy. */
@Timeout(60)
class StoreRestoreTest extends GatewayHarness {

  /** Time within which a confirmed configuration must be in force, {@code Bounds.ConfigApplyMs}. */
  private static final long CONFIG_APPLY_MILLIS = 2_000;

  private void configureWithRoute(int version, String route) {
    store.put(
        StoreClient.OPERATOR_TOPIC,
        StoreClient.CONFIGURATION_KEY,
        PlatformFixtures.configuration(version, List.of(route), List.of(PlatformFixtures.KEY)));
  }

  private static boolean becomesVersion(RunningGateway running, long version, long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (running.gateway().configurationVersion() != version && System.nanoTime() < end) {
      pause();
    }
    return running.gateway().configurationVersion() == version;
  }

  private static void pause() {
    try {
      Thread.sleep(10);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Offsets of lost records are used again, so the reader's next offset is the end once more. */
  @Test
  void configurationWrittenAtReusedOffsetsIsInForceInTime() {
    RunningGateway running = startConfiguredGateway();
    Map<String, Integer> checkpoint = store.checkpoint();
    configure(2);
    assertThat(becomesVersion(running, 2, CONFIG_APPLY_MILLIS)).isTrue();
    await(() -> store.waitingReaders() == 1);

    store.restore(checkpoint);
    configureWithRoute(3, "added");

    assertThat(becomesVersion(running, 3, CONFIG_APPLY_MILLIS)).isTrue();
    assertThat(get(running, "/added/x").statusCode()).isEqualTo(200);
  }

  /** Hosts that read no endpoint entries learn of the restore from those that do. */
  @Test
  void configurationIsInForceInTimeOnHostsThatDoNotReadEntries() {
    RunningGateway first = startConfiguredGateway();
    List<RunningGateway> all =
        List.of(
            first,
            startGateway("host-2", List.of(first.peerAddress())),
            startGateway("host-3", List.of(first.peerAddress())),
            startGateway("host-4", List.of(first.peerAddress())));
    all.forEach(running -> await(running.gateway()::isReady));
    all.forEach(running -> await(() -> running.gateway().readyAddresses().size() == 4));
    Map<String, Integer> checkpoint = store.checkpoint();
    configure(2);
    all.forEach(running -> assertThat(becomesVersion(running, 2, CONFIG_APPLY_MILLIS)).isTrue());
    await(() -> store.waitingReaders() == 4);

    store.restore(checkpoint);
    configureWithRoute(3, "added");

    long end = System.nanoTime() + CONFIG_APPLY_MILLIS * 1_000_000;
    for (RunningGateway running : all) {
      long left = (end - System.nanoTime()) / 1_000_000;
      assertThat(becomesVersion(running, 3, left)).isTrue();
    }
  }

  /** The records that announce a draining endpoint are skipped if only the offset is compared. */
  @Test
  void drainingStateWrittenAtReusedOffsetsIsReadInTime() {
    RunningGateway running = startConfiguredGateway();
    Map<String, Integer> checkpoint = store.checkpoint();
    for (int i = 0; i < 5; i++) {
      register("ready", modelEndpoints);
    }
    EndpointStandIn leaving = plainEndpoints.get(0);
    pauseForEndpointRead();

    store.restore(checkpoint);
    register("draining", List.of(leaving));
    for (int i = 0; i < 10; i++) {
      register("ready", modelEndpoints);
    }

    pauseForEndpointRead();
    pauseForEndpointRead();
    assertThat(running.gateway().directory().find(leaving.id())).isNull();
  }

  /** Waits for longer than the interval at which endpoint entries are read. */
  private static void pauseForEndpointRead() {
    for (int i = 0; i < 80; i++) {
      pause();
    }
  }

  /** The copy still lists an endpoint as ready that was confirmed as draining. */
  @Test
  void drainingEndpointStaysExcludedWhenTheCopyListsItAsReady() {
    RunningGateway running = startConfiguredGateway();
    Map<String, Integer> checkpoint = store.checkpoint();
    EndpointStandIn leaving = plainEndpoints.get(0);
    register("draining", List.of(leaving));
    await(() -> running.gateway().directory().find(leaving.id()) == null);

    store.restore(checkpoint);

    for (int i = 0; i < 200; i++) {
      assertThat(running.gateway().directory().find(leaving.id())).isNull();
      pause();
    }
  }

  /** The copy does not contain the record of this host. */
  @Test
  void hostRegistersAgainAfterARestore() {
    startConfiguredGateway();
    await(() -> store.keys(StoreClient.HOST_TOPIC).contains("host-1"));
    store.restore(Map.of(StoreClient.OPERATOR_TOPIC, 1, StoreClient.ENDPOINT_TOPIC, 4));
    assertThat(store.keys(StoreClient.HOST_TOPIC)).isEmpty();
    await(() -> store.keys(StoreClient.HOST_TOPIC).contains("host-1"));
  }

  /** A host that has the lost version in force keeps it and hands it to hosts that start. */
  @Test
  void startingHostGetsTheNewestVersionFromAPeer() {
    RunningGateway first = startConfiguredGateway();
    Map<String, Integer> checkpoint = store.checkpoint();
    configureWithRoute(2, "added");
    await(() -> first.gateway().configurationVersion() == 2);

    store.restore(checkpoint);
    RunningGateway second = startGateway("host-2", List.of(first.peerAddress()));
    await(() -> second.gateway().configurationVersion() == 2);

    assertThat(first.gateway().configurationVersion()).isEqualTo(2);
    RunningGateway third = startGateway("host-3", List.of(first.peerAddress()));
    await(() -> third.gateway().configurationVersion() == 2);
    assertThat(get(third, "/added/x").statusCode()).isEqualTo(200);
  }
}
