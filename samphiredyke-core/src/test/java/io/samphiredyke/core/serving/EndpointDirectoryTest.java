package io.samphiredyke.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTest {

  private static final long GRACE = 1_700;

  private final List<String> events = new ArrayList<>();
  private final EndpointDirectory directory =
      new EndpointDirectory(
          GRACE,
          new EndpointDirectory.Listener() {
            @Override
            public void available(EndpointRecord endpoint) {
              events.add("+" + endpoint.id());
            }

            @Override
            public void unavailable(EndpointRecord endpoint, String reason) {
              events.add("-" + endpoint.id() + " " + reason);
            }
          });

  private long heartbeat;

  /** Returns an entry with the next heartbeat of an instance. */
  private EndpointRecord endpoint(String id, boolean draining) {
    heartbeat++;
    return endpoint(id, draining, 1, heartbeat);
  }

  private static EndpointRecord endpoint(
      String id, boolean draining, long startedAt, long heartbeat) {
    return new EndpointRecord(id, "s", "10.0.0.1:80", "a", 4, draining, 0, startedAt, heartbeat);
  }

  @Test
  void readyEntryOfAnOlderCopyDoesNotEndDraining() {
    directory.put(endpoint("i-1", false, 1, 5));
    directory.put(endpoint("i-1", true, 1, 6));
    directory.put(endpoint("i-1", false, 1, 5));
    directory.put(endpoint("i-1", false, 1, 7));
    assertThat(directory.find("i-1")).isNull();
    directory.put(endpoint("i-1", false, 2, 1));
    assertThat(directory.find("i-1")).isNotNull();
  }

  @Test
  void removedEndpointReturnsOnlyWithANewHeartbeat() {
    directory.put(endpoint("i-1", false, 1, 5));
    directory.remove("i-1", 10);
    directory.replaceAll(List.of(endpoint("i-1", false, 1, 5)), 20);
    assertThat(directory.find("i-1")).isNull();
    directory.put(endpoint("i-1", false, 1, 6));
    assertThat(directory.find("i-1")).isNotNull();
  }

  @Test
  void olderEntryOfTheSameInstanceIsIgnored() {
    directory.put(endpoint("i-1", false, 1, 5));
    EndpointRecord older = new EndpointRecord("i-1", "s", "10.0.0.1:80", "a", 2, false, 0, 1, 4);
    directory.put(older);
    assertThat(directory.all()).extracting(EndpointRecord::slots).containsExactly(4);
  }

  @Test
  void entriesWithoutAStartTimeAreTakenAsTheyCome() {
    directory.put(endpoint("i-1", true, 0, 6));
    directory.put(endpoint("i-1", false, 0, 5));
    assertThat(directory.find("i-1")).isNotNull();
  }

  @Test
  void removesADrainingEndpoint() {
    directory.put(endpoint("i-1", false));
    directory.put(endpoint("i-1", true));
    assertThat(events).containsExactly("+i-1", "-i-1 draining");
    assertThat(directory.find("i-1")).isNull();
  }

  @Test
  void removesEntriesImmediatelyInSteadyState() {
    directory.put(endpoint("i-1", false));
    directory.remove("i-1", 10);
    assertThat(directory.find("i-1")).isNull();
  }

  @Test
  void keepsMissingEntriesForTheGracePeriodAfterAnOutage() {
    directory.put(endpoint("i-1", false));
    directory.registryLost();
    directory.registryRead(1_000);
    directory.remove("i-1", 1_000);
    directory.tick(1_000 + GRACE - 1);
    assertThat(directory.find("i-1")).isNotNull();
    directory.put(endpoint("i-1", false));
    directory.tick(1_000 + GRACE);
    assertThat(directory.find("i-1")).isNotNull();
  }

  @Test
  void removesEntriesStillMissingAfterTheGracePeriod() {
    directory.put(endpoint("i-1", false));
    directory.registryLost();
    directory.registryRead(1_000);
    directory.replaceAll(List.of(), 1_000);
    directory.tick(1_000 + GRACE);
    assertThat(directory.find("i-1")).isNull();
  }

  @Test
  void drainingTakesEffectDuringTheGracePeriod() {
    directory.put(endpoint("i-1", false));
    directory.registryLost();
    directory.registryRead(1_000);
    directory.put(endpoint("i-1", true));
    assertThat(directory.find("i-1")).isNull();
  }
}
