package io.samphiredyke.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.membership.Member;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class GroupCompletenessTest {

  private static final long SECOND = 1_000_000_000L;

  private final CapacityShareEstimator group = new CapacityShareEstimator();

  private static List<Member> hosts(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> Member.builder().name("host-" + i).address(address(i)).build())
        .toList();
  }

  private static String address(int host) {
    return "10.0.0." + host + ":7600";
  }

  private void list(int count) {
    group.listed(IntStream.range(0, count).mapToObj(GroupCompletenessTest::address).toList());
  }

  @Test
  void hostThatKnowsNobodyGrantsItsPart() {
    list(69);
    assertThat(group.share(hosts(1), 0)).isEqualTo(1.0 / 69);
  }

  @Test
  void halfOfTheGroupGrantsAll() {
    list(6);
    assertThat(group.share(hosts(3), 0)).isEqualTo(1);
    assertThat(group.share(hosts(2), 0)).isEqualTo(2.0 / 6);
  }

  @Test
  void hostsThatAreGoneForLongDoNotCount() {
    list(6);
    for (int host = 1; host < 6; host++) {
      group.gone(address(host), 0);
    }
    assertThat(group.share(hosts(1), SECOND)).isEqualTo(1.0 / 6);
    assertThat(group.share(hosts(1), 9 * SECOND)).isEqualTo(1);
  }

  @Test
  void hostThatStartsAloneGrantsAll() {
    assertThat(group.share(hosts(1), 0)).isEqualTo(1);
  }
}
