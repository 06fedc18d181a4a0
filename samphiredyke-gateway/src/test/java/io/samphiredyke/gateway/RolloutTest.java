package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.StoreStandIn;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Roll-outs of a plain service at a group of gateways, under steady load. */
@Timeout(90)
class RolloutTest extends GatewayHarness {

  private static final int DURATION_SECONDS = 12;
  private static final double EXPOSED_SHARE = 0.1;
  private static final int EXPOSED_SLACK = 50;
  private static final String STATUS_KEY = "rollout/plain";

  private final AtomicBoolean isLoading = new AtomicBoolean(true);
  private final List<EndpointStandIn> newEndpoints = new ArrayList<>();
  private final List<RunningGateway> hosts = new CopyOnWriteArrayList<>();
  private Thread load = new Thread(() -> {});

  @BeforeEach
  void startGroup() {
    plainEndpoints.forEach(endpoint -> endpoint.setVersion("v1"));
    EndpointStandIn third = new EndpointStandIn("p-3", "plain", false);
    plainEndpoints.add(third.setVersion("v1").start(eventLoops()));
    register("ready", plainEndpoints);
    hosts.add(startConfiguredGateway());
    hosts.add(startGateway("host-2", List.of(hosts.get(0).peerAddress())));
    hosts.forEach(each -> await(() -> each.gateway().readyAddresses().size() == 2));
    load = new Thread(this::sendSteadily);
    load.start();
  }

  @AfterEach
  void stopLoad() throws InterruptedException {
    isLoading.set(false);
    load.join();
  }

  private void sendSteadily() {
    List<CompletableFuture<HttpResponse<String>>> open = new ArrayList<>();
    for (int i = 0; isLoading.get(); i++) {
      HttpRequest request = request(hosts.get(i % hosts.size()), "/safe/x").build();
      open.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
      open.removeIf(CompletableFuture::isDone);
      try {
        Thread.sleep(8);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void writeOrder() {
    store.put(
        StoreClient.OPERATOR_TOPIC,
        STATUS_KEY,
        "{\"Service\":\"plain\",\"To\":\"v2\",\"DurationS\":" + DURATION_SECONDS + "}");
  }

  private void order(EndpointStandIn.Behaviour behaviour) {
    writeOrder();
    for (int i = 1; i <= 3; i++) {
      EndpointStandIn endpoint = new EndpointStandIn("n-" + i, "plain", false);
      endpoint.setBehaviour(behaviour);
      newEndpoints.add(endpoint.setVersion("v2").start(eventLoops()));
    }
    register("ready", newEndpoints);
  }

  private boolean isStatus(String state) {
    String status = store.value(StoreClient.STATUS_TOPIC, STATUS_KEY);
    return status != null
        && status.contains("\"State\":\"" + state + "\"")
        && status.contains("\"To\":\"v2\"");
  }

  private boolean isWithin(long startedAt) {
    return System.nanoTime() - startedAt < DURATION_SECONDS * 1_000_000_000L;
  }

  private void assertSucceeds(long startedAt) {
    await(() -> isStatus("succeeded"));
    assertThat(isWithin(startedAt)).isTrue();
    int before = runs(plainEndpoints);
    get(hosts.get(0), "/safe/x");
    get(hosts.get(1), "/safe/x");
    assertThat(runs(plainEndpoints)).as("requests at the old version").isEqualTo(before);
  }

  private void assertRolledBack(long startedAt) {
    await(() -> isStatus("rolled_back"));
    assertThat(isWithin(startedAt)).isTrue();
    int exposed = runs(newEndpoints);
    for (int i = 0; i < 30; i++) {
      assertThat(get(hosts.get(i % 2), "/safe/x").statusCode()).isEqualTo(200);
    }
    assertThat(runs(newEndpoints)).as("requests after the rollback").isEqualTo(exposed);
    assertThat((double) exposed)
        .isLessThanOrEqualTo(EXPOSED_SHARE * (exposed + runs(plainEndpoints)) + EXPOSED_SLACK);
  }

  @Test
  void goodVersionSucceedsInTime() {
    long startedAt = System.nanoTime();
    order(EndpointStandIn.Behaviour.SERVE);
    await(() -> isStatus("running"));
    assertSucceeds(startedAt);
  }

  @Test
  void failingVersionIsRolledBack() {
    long startedAt = System.nanoTime();
    order(EndpointStandIn.Behaviour.ERROR);
    assertRolledBack(startedAt);
  }

  @Test
  void slowVersionIsRolledBack() {
    long startedAt = System.nanoTime();
    order(EndpointStandIn.Behaviour.SLOW);
    assertRolledBack(startedAt);
  }

  /** The first bad answers come when the new version has half of the traffic. */
  @Test
  void versionThatTurnsBadIsRolledBack() {
    long startedAt = System.nanoTime();
    order(EndpointStandIn.Behaviour.SERVE);
    await(() -> logged("\"EXPANDING\""));
    newEndpoints.forEach(each -> each.setBehaviour(EndpointStandIn.Behaviour.ERROR));
    await(() -> isStatus("rolled_back"));
    assertThat(isWithin(startedAt)).isTrue();
  }

  @Test
  void commonTroubleDoesNotTakeAGoodVersionBack() {
    long startedAt = System.nanoTime();
    order(EndpointStandIn.Behaviour.SERVE);
    await(() -> isStatus("running") && runs(newEndpoints) > 5);
    plainEndpoints.forEach(each -> each.setBehaviour(EndpointStandIn.Behaviour.ERROR));
    newEndpoints.forEach(each -> each.setBehaviour(EndpointStandIn.Behaviour.ERROR));
    await(() -> System.nanoTime() - startedAt > 4_000_000_000L);
    plainEndpoints.forEach(each -> each.setBehaviour(EndpointStandIn.Behaviour.SERVE));
    newEndpoints.forEach(each -> each.setBehaviour(EndpointStandIn.Behaviour.SERVE));
    assertSucceeds(startedAt);
  }

  @Test
  void rollOutSurvivesTheLossOfTheDecidingHost() {
    long startedAt = System.nanoTime();
    order(EndpointStandIn.Behaviour.SERVE);
    await(() -> isStatus("running"));
    boolean isFirst = hosts.get(0).gateway().peers().isSchedulerOf("plain");
    RunningGateway lost = hosts.remove(isFirst ? 0 : 1);
    lost.gateway().peers().closeSocket();
    hosts.add(startGateway("host-3", List.of(hosts.get(0).peerAddress())));
    assertSucceeds(startedAt);
  }

  @Test
  void outcomeIsStoredAfterAnOutageOfTheStore() {
    long startedAt = System.nanoTime();
    order(EndpointStandIn.Behaviour.SERVE);
    await(() -> isStatus("running"));
    // Hosts that have not read the entries before the outage would not know the new version.
    hosts.forEach(each -> await(() -> each.gateway().directory().ofService("plain").size() == 6));
    store.setMode(StoreStandIn.Mode.BUSY);
    newEndpoints.forEach(each -> each.setBehaviour(EndpointStandIn.Behaviour.ERROR));
    await(() -> logged("\"ROLLED_BACK\""));
    store.setMode(StoreStandIn.Mode.UP);
    assertRolledBack(startedAt);
  }

  /** The operator and the endpoints write again; the order then has a lower offset than before. */
  @Test
  void rollOutGoesOnAfterTheStoreWasRestored() {
    Map<String, Integer> copy = store.checkpoint();
    configure(2);
    configure(3);
    long startedAt = System.nanoTime();
    order(EndpointStandIn.Behaviour.SERVE);
    await(() -> isStatus("running"));
    store.restore(copy);
    configure(4);
    register("ready", plainEndpoints);
    register("ready", newEndpoints);
    writeOrder();
    assertSucceeds(startedAt);
  }

  /** All hosts restart; what the new one knows it has read from the store. */
  @Test
  void rolledBackVersionGetsNothingAfterARestartOfAllHosts() {
    order(EndpointStandIn.Behaviour.ERROR);
    await(() -> isStatus("rolled_back"));
    hosts.forEach(each -> each.gateway().peers().closeSocket());
    RunningGateway restarted = startGateway("host-3", List.of());
    hosts.set(0, restarted);
    hosts.set(1, restarted);
    await(restarted.gateway()::isReady);
    int exposed = runs(newEndpoints);
    for (int i = 0; i < 40; i++) {
      get(restarted, "/safe/x");
    }
    assertThat(runs(newEndpoints)).isEqualTo(exposed);
  }

  @Test
  void malformedOrderIsLoggedAndChangesNothing() {
    store.put(StoreClient.OPERATOR_TOPIC, STATUS_KEY, "{\"Service\":\"plain\",\"To\":\"v2\"}");
    await(() -> logged("rollout_rejected"));
    assertThat(get(hosts.get(0), "/safe/x").statusCode()).isEqualTo(200);
    assertThat(store.value(StoreClient.STATUS_TOPIC, STATUS_KEY)).isNull();
  }
}
