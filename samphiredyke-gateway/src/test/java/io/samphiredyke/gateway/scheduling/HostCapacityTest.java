package io.samphiredyke.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.membership.Member;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Eight strong hosts among sixty-nine, as on the grown crag. */
class HostCapacityTest {

  private static final int STRONG = 8;
  private static final int WEAK = 61;

  private final List<Member> hosts = new ArrayList<>();

  HostCapacityTest() {
    int strong = HostCapacity.of(1.5, 140);
    int weak = HostCapacity.of(0.36, 7);
    for (int i = 0; i < STRONG + WEAK; i++) {
      hosts.add(
          Member.builder()
              .name("host-" + i)
              .address("10.0.0." + i + ":7600")
              .capacity(i < STRONG ? strong : weak)
              .build());
    }
  }

  @Test
  void schedulersRunOnStrongHosts() {
    SchedulerSelector choice = new SchedulerSelector("10.0.0.68:7600");
    choice.members(hosts);
    for (int service = 0; service < 50; service++) {
      String chosen = choice.scheduler("service-" + service, 0);
      assertThat(hosts.subList(0, STRONG)).extracting(Member::address).contains(chosen);
    }
  }

  @Test
  void someOtherHostSchedulesWhenAllStrongOnesAreSilent() {
    SchedulerSelector choice = new SchedulerSelector("10.0.0.68:7600");
    choice.members(hosts);
    hosts.subList(0, STRONG).forEach(host -> choice.silent(host.address(), 0));
    String chosen = choice.scheduler("service", 1);
    assertThat(hosts.subList(STRONG, hosts.size())).extracting(Member::address).contains(chosen);
  }

  @Test
  void callersAreSentToStrongHostsMoreOftenAndToAllOfThem() {
    SplittableRandom random = new SplittableRandom(1);
    Set<Member> seen = new HashSet<>();
    int toStrong = 0;
    int draws = 2_000;
    for (int i = 0; i < draws; i++) {
      Member first = HostCapacity.draw(hosts, 12, random).get(0);
      seen.add(first);
      toStrong += first.capacity() > 100 ? 1 : 0;
    }
    assertThat(toStrong / (double) draws).isBetween(0.4, 0.7);
    assertThat(seen).hasSize(hosts.size());
  }

  @Test
  void likeHostsAreAllListed() {
    List<Member> like = hosts.subList(STRONG, STRONG + 6);
    assertThat(HostCapacity.draw(like, 12, new SplittableRandom(1)))
        .containsExactlyInAnyOrderElementsOf(like);
    assertThat(HostCapacity.strong(like)).hasSize(6);
  }
}
