package io.samphiredyke.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class BrokerAssignmentTest {

  private static final int ENDPOINTS = 870;

  private static List<Member> members(int count) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Member member = TestGroup.member("10.0.0." + i + ":7400", 1, i);
      members.add(member.toBuilder().dataCentre("dc" + i % 4).build());
    }
    return members;
  }

  private static BrokerAssignment.Brokers brokers(List<Member> live, int endpoint) {
    String name = "runner-" + endpoint;
    return BrokerAssignment.over(live).brokers(name, "dc" + endpoint % 4).orElseThrow();
  }

  @Test
  void onlyTheEndpointsOfARemovedMemberMoveToTheirSecondaries() {
    List<Member> all = members(40);
    List<Member> remaining = new ArrayList<>(all);
    Member removed = remaining.remove(17);
    int moved = 0;
    for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
      BrokerAssignment.Brokers before = brokers(all, endpoint);
      BrokerAssignment.Brokers after = brokers(remaining, endpoint);
      if (before.primary().equals(removed)) {
        moved++;
        assertThat(after.primary()).isEqualTo(before.secondary().orElseThrow());
      } else {
        assertThat(after.primary()).isEqualTo(before.primary());
      }
    }
    assertThat(moved).isBetween(5, 50);
  }

  @Test
  void brokersAreInTheEndpointsDataCentreAndLoadIsEven() {
    List<Member> all = members(40);
    Map<Member, Integer> load = new HashMap<>();
    for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
      Member primary = brokers(all, endpoint).primary();
      assertThat(primary.dataCentre()).isEqualTo("dc" + endpoint % 4);
      load.merge(primary, 1, Integer::sum);
    }
    assertThat(load).hasSize(40);
    assertThat(load.values()).allSatisfy(count -> assertThat(count).isLessThan(60));
  }

  @Test
  void drainingMemberIsNotPreferred() {
    List<Member> all = members(8);
    Member primary = brokers(all, 1).primary();
    List<Member> draining = new ArrayList<>(all);
    draining.replaceAll(m -> m.equals(primary) ? m.toBuilder().draining(true).build() : m);
    assertThat(brokers(draining, 1).primary().address()).isNotEqualTo(primary.address());
  }

  @Test
  void restartAtTheSameAddressMovesNothing() {
    List<Member> all = members(8);
    List<Member> restarted = new ArrayList<>(all);
    restarted.replaceAll(m -> m.toBuilder().incarnation(new IncarnationId(9, 9)).build());
    for (int endpoint = 0; endpoint < 50; endpoint++) {
      assertThat(brokers(restarted, endpoint).primary().address())
          .isEqualTo(brokers(all, endpoint).primary().address());
    }
  }

  @Test
  void orderOfMembersIsIrrelevantAndSingleMemberHasNoSecondary() {
    List<Member> all = members(8);
    List<Member> reversed = new ArrayList<>(all);
    Collections.reverse(reversed);
    assertThat(brokers(reversed, 3)).isEqualTo(brokers(all, 3));
    assertThat(brokers(all.subList(0, 1), 3).secondary()).isEmpty();
    assertThat(BrokerAssignment.over(List.of()).brokers("runner", "dc")).isEmpty();
  }
}
