package io.samphiredyke.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.membership.IncarnationId;
import io.samphiredyke.core.membership.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Failure: the store is unavailable while hosts stop, are killed and start. */
class PeerStateSelectorTest {

  private static final long MILLI = 1_000_000;
  private static final String SELF = "10.0.0.1:1";

  private final PeerStateSelector selector = new PeerStateSelector(SELF, new SplittableRandom(1));
  private final List<Member> live = new ArrayList<>();

  PeerStateSelectorTest() {
    add(SELF, -1, true);
  }

  private void add(String address, long version, boolean isDraining) {
    live.add(
        Member.builder()
            .name(address)
            .address(address)
            .incarnation(new IncarnationId(address.hashCode(), 1))
            .dataCentre("a")
            .configurationOffset(version)
            .draining(isDraining)
            .build());
  }

  private String selectAt(long millis) {
    Member selected = selector.select(live, millis * MILLI);
    return selected == null ? "" : selected.address();
  }

  @Test
  void asksADrainingHostThatHasTheNewestConfiguration() {
    add("ready", 7, false);
    add("stopping", 8, true);
    assertThat(selectAt(0)).isEqualTo("stopping");
    assertThat(selectAt(50)).isEqualTo("ready");
    assertThat(selectAt(100)).isEmpty();
    assertThat(selectAt(300)).isEqualTo("stopping");
  }

  @Test
  void asksAHostWithStateAsSoonAsItIsKnown() {
    add("starting", -1, true);
    assertThat(selectAt(0)).isEqualTo("starting");
    add("stopping", 8, true);
    assertThat(selectAt(50)).isEqualTo("stopping");
  }

  @Test
  void asksHostsWithoutStateOnceInTheInterval() {
    add("first", -1, true);
    add("second", -1, true);
    assertThat(selectAt(0)).isNotEmpty();
    assertThat(selectAt(50)).isEmpty();
    assertThat(selectAt(300)).isNotEmpty();
  }

  @Test
  void stoppingHostIsNeededWhileNoReadyHostHasItsConfiguration() {
    assertThat(selector.isNeeded(8, live)).as("no other host").isFalse();
    add("starting", -1, true);
    assertThat(selector.isNeeded(8, live)).isTrue();
    add("stopping", 8, true);
    assertThat(selector.isNeeded(8, live)).as("the other one stops too").isTrue();
    assertThat(selector.isNeeded(-1, live)).as("nothing to load").isFalse();
    add("ready", 8, false);
    assertThat(selector.isNeeded(8, live)).isFalse();
  }
}
