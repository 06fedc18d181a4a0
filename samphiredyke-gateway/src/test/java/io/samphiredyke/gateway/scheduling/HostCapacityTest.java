package io.samphiredyke.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.membership.Member;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Scheduler selection and caller distribution with 8 high-capacity hosts among 69. */
class HostCapacityTest {

  private static final int HIGH_CAPACITY_HOSTS = 8;
  private static final int LOW_CAPACITY_HOSTS = 61;

  private final List<Member> hosts = new ArrayList<>();

  HostCapacityTest() {
    int highCapacity = HostCapacity.of(1.5, 140);
    int lowCapacity = HostCapacity.of(0.36, 7);
    for (int i = 0; i < HIGH_CAPACITY_HOSTS + LOW_CAPACITY_HOSTS; i++) {
      hosts.add(
          Member.builder()
              .name("host-" + i)
              .address("10.0.0." + i + ":7600")
              .capacity(i < HIGH_CAPACITY_HOSTS ? highCapacity : lowCapacity)
              .build());
    }
  }

  @Test
  void selectsSchedulersAmongHighCapacityHosts() {
    SchedulerSelector selector = new SchedulerSelector("10.0.0.68:7600");
    selector.setMembers(hosts);
    for (int service = 0; service < 50; service++) {
      String selected = selector.select("service-" + service, 0);
      assertThat(hosts.subList(0, HIGH_CAPACITY_HOSTS))
          .extracting(Member::address)
          .contains(selected);
    }
  }

  @Test
  void selectsLowCapacityHostWhenAllOthersAreUnresponsive() {
    SchedulerSelector selector = new SchedulerSelector("10.0.0.68:7600");
    selector.setMembers(hosts);
    hosts
        .subList(0, HIGH_CAPACITY_HOSTS)
        .forEach(host -> selector.markUnresponsive(host.address(), 0));
    String selected = selector.select("service", 1);
    assertThat(hosts.subList(HIGH_CAPACITY_HOSTS, hosts.size()))
        .extracting(Member::address)
        .contains(selected);
  }

  @Test
  void samplesAllHostsAndHighCapacityOnesMoreOften() {
    SplittableRandom random = new SplittableRandom(1);
    Set<Member> seen = new HashSet<>();
    int highCapacityDraws = 0;
    int draws = 2_000;
    for (int i = 0; i < draws; i++) {
      Member first = HostCapacity.weightedSample(hosts, 12, random).get(0);
      seen.add(first);
      highCapacityDraws += first.capacity() > 100 ? 1 : 0;
    }
    assertThat(highCapacityDraws / (double) draws).isBetween(0.4, 0.7);
    assertThat(seen).hasSize(hosts.size());
  }

  @Test
  void returnsAllHostsOfEqualCapacity() {
    List<Member> equalHosts = hosts.subList(HIGH_CAPACITY_HOSTS, HIGH_CAPACITY_HOSTS + 6);
    assertThat(HostCapacity.weightedSample(equalHosts, 12, new SplittableRandom(1)))
        .containsExactlyInAnyOrderElementsOf(equalHosts);
    assertThat(HostCapacity.highCapacity(equalHosts)).hasSize(6);
  }
}
