package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.EndpointStandIn;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Records of another writer among those that hosts read from the store. */
@Timeout(90)
class OddRecordTest extends GatewayHarness {

  private List<String> oddEntries() {
    String sound = plainEndpoints.get(0).entry("ready");
    return List.of(
        "",
        "null",
        "[".repeat(100_000),
        sound.replace("\"Zone\":\"a\"", "\"Zone\":" + "[".repeat(900) + "]".repeat(900)),
        sound.replace("\"BatchSlots\":4", "\"BatchSlots\":4294967296"),
        sound.replace("\"BatchSlots\":4", "\"BatchSlots\":4294967295"),
        sound.replace("\"BatchSlots\":4", "\"BatchSlots\":1e400"),
        sound.replace("\"BatchSlots\":4", "\"BatchSlots\":-7"),
        sound.replaceFirst("127.0.0.1:\\d+", "127.0.0.1:99999"),
        sound.replaceFirst("127.0.0.1:\\d+", "127.0.0.1:-1"),
        sound.replaceFirst("127.0.0.1:\\d+", "no-such-host:80"),
        sound.replace("\"Zone\":\"a\"", "\"Zone\":\"" + "z".repeat(60_000) + "\""),
        sound.replace("\"Sequence\":", "\"Sequence\":99999999999999999999999999"));
  }

  private boolean isUsable(RunningGateway running, EndpointStandIn endpoint) {
    return running.gateway().directory().all().stream()
        .anyMatch(known -> known.id().equals(endpoint.id()) && !known.isDraining());
  }

  private void assertFollows(RunningGateway running) {
    EndpointStandIn changed = plainEndpoints.get(1);
    register("draining", List.of(changed));
    await(() -> !isUsable(running, changed));
    changed.restart();
    register("ready", List.of(changed));
    await(() -> isUsable(running, changed));
    assertThat(post(running, "/unsafe/x", "x").statusCode()).isEqualTo(200);
  }

  /** Guards against an entry that ends the host or makes it stop following the endpoints. */
  @Test
  void oddEntryNamesNoEndpointAndTheOthersHold() {
    RunningGateway running = startConfiguredGateway();
    List<String> entries = oddEntries();
    for (int i = 0; i < entries.size(); i++) {
      store.put(StoreClient.ENDPOINT_TOPIC, "odd-" + i, entries.get(i));
    }
    assertFollows(running);
    assertThat(running.gateway().directory().all())
        .noneMatch(endpoint -> endpoint.id().startsWith("odd-"));
    assertThat(logged("records_failed")).isFalse();
  }

  /** Guards against the same at a host that finds the entries at its start. */
  @Test
  void hostStartsAmongOddRecords() {
    List<String> entries = oddEntries();
    for (int i = 0; i < entries.size(); i++) {
      store.put(StoreClient.ENDPOINT_TOPIC, "odd-" + i, entries.get(i));
      store.put(StoreClient.HOST_TOPIC, "odd-" + i, entries.get(i));
      store.put(StoreClient.QUARANTINE_TOPIC, "odd-" + i, entries.get(i));
    }
    store.put(StoreClient.HOST_TOPIC, "odd-port", "127.0.0.1:99999");
    store.put(StoreClient.HOST_TOPIC, "odd-name", "no-such-host:80");
    store.put(StoreClient.QUARANTINE_TOPIC, "1f", "3 9223372036854775807");
    store.put(StoreClient.QUARANTINE_TOPIC, "1e", "3 -9223372036854775808");
    store.put(StoreClient.QUARANTINE_TOPIC, "request:1f", "1 1 1");
    store.put(StoreClient.QUARANTINE_TOPIC, "request:1f:customer", "1 x 1");
    store.put(StoreClient.QUARANTINE_TOPIC, "request:1e:customer", "-1 -1 -9223372036854775808");
    RunningGateway running = startConfiguredGateway();
    assertFollows(running);
    assertThat(running.gateway().directory().all())
        .noneMatch(endpoint -> endpoint.id().startsWith("odd-"));
    assertThat(logged("hosts_listed")).isTrue();
  }
}
