package io.samphiredyke.core.membership.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.membership.GossipUpdates;
import io.samphiredyke.core.membership.IncarnationId;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberState;
import org.junit.jupiter.api.Test;

class UpdateQueueTest {

  private static final int LARGE = 10_000;

  private final UpdateQueue queue = new UpdateQueue();

  private static Member member(long id) {
    return Member.builder().address("h" + id).incarnation(new IncarnationId(id, id)).build();
  }

  @Test
  void updateIsSentTheGivenNumberOfTimes() {
    queue.offerMember(member(1));
    for (int i = 0; i < 3; i++) {
      assertThat(queue.take(LARGE, 3).members()).hasSize(1);
    }
    assertThat(queue.take(LARGE, 3)).isEqualTo(GossipUpdates.NONE);
  }

  @Test
  void leastSentGoesFirstWhenNotAllFit() {
    queue.offerMember(member(1));
    queue.take(LARGE, 9);
    queue.offerMember(member(2));
    GossipUpdates updates = queue.take(member(2).encodedSize(), 9);
    assertThat(updates.members()).extracting(Member::address).containsExactly("h2");
  }

  @Test
  void updateHeardAgainCountsAsSentOnlyInACrowd() {
    queue.offerMember(member(1));
    queue.heard(1);
    queue.heard(1);
    assertThat(queue.take(LARGE, 4).members()).hasSize(1);
    for (int id = 2; id < 20; id++) {
      queue.offerMember(member(id));
    }
    queue.heard(1);
    queue.heard(1);
    assertThat(queue.take(LARGE, 4).members()).hasSize(19);
    assertThat(queue.take(LARGE, 4).members()).hasSize(18);
  }

  @Test
  void changeOfStateReplacesTheMemberButStaysWhole() {
    queue.offerMember(member(1));
    queue.offerState(member(1).with(MemberState.SUSPECT, 0), 5);
    GossipUpdates updates = queue.take(LARGE, 3);
    assertThat(updates.states()).isEmpty();
    assertThat(updates.members()).extracting(Member::state).containsExactly(MemberState.SUSPECT);
  }
}
