package io.samphiredyke.core.membership;

import static io.samphiredyke.core.membership.TestGroup.MILLI;
import static io.samphiredyke.core.membership.TestGroup.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MembershipTest {

  @Test
  void membersDiscoverEachOtherThroughOneSeed() {
    TestGroup group = new TestGroup(1);
    group.startAll(5);
    for (String address : group.running.keySet()) {
      assertThat(group.live(address)).containsExactly("h0", "h1", "h2", "h3", "h4");
    }
  }

  @Test
  void crashedMemberBecomesSuspectThenDead() {
    TestGroup group = new TestGroup(2);
    group.startAll(5);
    group.running.remove("h3");
    group.run(10 * SECOND);
    assertThat(group.live("h0")).containsExactly("h0", "h1", "h2", "h4");
    assertThat(group.causes("h0", "h3"))
        .containsExactly(ChangeCause.JOINED, ChangeCause.SUSPECTED, ChangeCause.TIMED_OUT);
  }

  @Test
  void crashInGroupOfTwoIsDetectedWithoutHelpers() {
    TestGroup group = new TestGroup(3);
    group.startAll(2);
    group.running.remove("h1");
    group.run(10 * SECOND);
    assertThat(group.live("h0")).containsExactly("h0");
  }

  @Test
  void suspectedMemberRefutesByHigherGeneration() {
    TestGroup group = new TestGroup(4);
    group.startAll(4);
    Membership suspect = group.running.get("h2");
    long before = suspect.self().generation();
    StateUpdate suspicion =
        new StateUpdate(suspect.self().shortId(), MemberState.SUSPECT, before, false, 7);
    GossipHeader origin = GossipHeader.of(group.running.get("h1").self());
    GossipUpdates updates = new GossipUpdates(List.of(), List.of(suspicion));
    group.running.get("h0").received(new GossipMessage.Ping(origin, 1, updates), group.now);
    group.run(5 * SECOND);
    assertThat(suspect.self().generation()).isEqualTo(before + 1);
    assertThat(group.running.get("h0").find("h2").state()).isEqualTo(MemberState.ALIVE);
    assertThat(group.causes("h0", "h2"))
        .containsExactly(ChangeCause.JOINED, ChangeCause.SUSPECTED, ChangeCause.REFUTED);
  }

  @Test
  void reportedDeathOfLiveMemberIsVerifiedFirst() {
    TestGroup group = new TestGroup(5);
    group.startAll(4);
    Member subject = group.running.get("h2").self();
    StateUpdate death =
        new StateUpdate(subject.shortId(), MemberState.DEAD, subject.generation(), false, 0);
    GossipUpdates updates = new GossipUpdates(List.of(), List.of(death));
    GossipHeader origin = GossipHeader.of(group.running.get("h1").self());
    group.running.get("h0").received(new GossipMessage.Ping(origin, 1, updates), group.now);
    group.run(10 * SECOND);
    assertThat(group.causes("h0", "h2")).doesNotContain(ChangeCause.TIMED_OUT);
    assertThat(group.live("h0")).contains("h2");
  }

  @Test
  void suspicionAndReportedDeathInOneMessageAreVerified() {
    TestGroup group = new TestGroup(17);
    group.startAll(4);
    Member subject = group.running.get("h2").self();
    List<StateUpdate> states = new ArrayList<>();
    for (MemberState state : List.of(MemberState.SUSPECT, MemberState.DEAD)) {
      states.add(new StateUpdate(subject.shortId(), state, subject.generation(), false, 7));
    }
    GossipHeader origin = GossipHeader.of(group.running.get("h1").self());
    GossipUpdates updates = new GossipUpdates(List.of(), states);
    group.running.get("h0").received(new GossipMessage.Ping(origin, 1, updates), group.now);
    group.run(10 * SECOND);
    assertThat(group.causes("h0", "h2"))
        .containsExactly(ChangeCause.JOINED, ChangeCause.SUSPECTED, ChangeCause.REFUTED);
  }

  @Test
  void reportedDeathOfUnresponsiveMemberTakesEffectAfterOneProbe() {
    TestGroup group = new TestGroup(18);
    group.startAll(4);
    Member subject = group.running.get("h2").self();
    group.running.remove("h2");
    StateUpdate death =
        new StateUpdate(subject.shortId(), MemberState.DEAD, subject.generation(), false, 0);
    GossipUpdates updates = new GossipUpdates(List.of(), List.of(death));
    GossipHeader origin = GossipHeader.of(group.running.get("h1").self());
    group.running.get("h0").received(new GossipMessage.Ping(origin, 1, updates), group.now);
    group.run(400 * MILLI);
    assertThat(group.live("h0")).doesNotContain("h2");
  }

  @Test
  void restartAtTheSameAddressSupersedesImmediately() {
    TestGroup group = new TestGroup(6);
    group.startAll(4);
    group.start("h2", 100, "h0");
    group.run(SECOND);
    assertThat(group.causes("h1", "h2"))
        .containsExactly(ChangeCause.JOINED, ChangeCause.SUPERSEDED, ChangeCause.JOINED);
  }

  @Test
  void restartWithAnEarlierClockRaisesItsGeneration() {
    TestGroup group = new TestGroup(7);
    group.startAll(4);
    for (int i = 0; i < 3; i++) {
      group.running.get("h2").draining(i % 2 == 0);
    }
    group.run(3 * SECOND);
    Membership restarted = group.start("h2", 0, "h0");
    group.run(3 * SECOND);
    assertThat(group.running.get("h1").find("h2").incarnation())
        .isEqualTo(restarted.self().incarnation());
    assertThat(group.causes("h1", "h2")).contains(ChangeCause.SUPERSEDED);
  }

  @Test
  void plannedLeaveCausesNoSuspicion() {
    TestGroup group = new TestGroup(8);
    group.startAll(5);
    group.running.get("h4").leave(group.now);
    group.run(2 * SECOND);
    group.running.remove("h4");
    group.run(20 * SECOND);
    for (String address : List.of("h0", "h1", "h2", "h3")) {
      assertThat(group.causes(address, "h4")).containsExactly(ChangeCause.JOINED, ChangeCause.LEFT);
    }
  }

  @Test
  void drainingReachesAllMembersAndSurvivesRefutation() {
    TestGroup group = new TestGroup(9);
    group.startAll(5);
    group.running.get("h1").draining(true);
    group.run(3 * SECOND);
    for (Membership membership : group.running.values()) {
      assertThat(membership.find("h1").draining()).isTrue();
    }
    group.paused.add("h1");
    group.run(20 * SECOND);
    group.paused.remove("h1");
    group.run(20 * SECOND);
    assertThat(group.live("h0")).contains("h1");
    assertThat(group.running.get("h0").find("h1").draining()).isTrue();
  }

  @Test
  void configurationOffsetIsSentInMessageHeaders() {
    TestGroup group = new TestGroup(10);
    group.startAll(3);
    group.running.get("h1").configurationOffset(77);
    group.run(5 * SECOND);
    assertThat(group.running.get("h0").find("h1").configurationOffset()).isEqualTo(77);
  }

  @Test
  void resumedProcessSuspectsNobodyAfterPause() {
    TestGroup group = new TestGroup(11);
    group.startAll(5);
    group.paused.add("h2");
    group.run(30 * SECOND);
    assertThat(group.live("h0")).doesNotContain("h2");
    group.paused.remove("h2");
    group.run(10 * SECOND);
    assertThat(group.causes("h2", "h0")).containsExactly(ChangeCause.JOINED);
    assertThat(group.live("h0")).contains("h2");
  }

  @Test
  void deadMembersAreReclaimedAndRediscoveredThroughSeeds() {
    MembershipSettings settings =
        MembershipSettings.builder().reclaimAfter(Duration.ofSeconds(30)).build();
    TestGroup group = new TestGroup(12, settings);
    group.startAll(3);
    group.running.get("h0").replaceSeeds(List.of("h1", "h2"), group.now);
    group.paused.add("h2");
    group.run(90 * SECOND);
    assertThat(group.running.get("h0").find("h2")).isNull();
    group.paused.remove("h2");
    group.run(20 * SECOND);
    assertThat(group.live("h0")).containsExactly("h0", "h1", "h2");
  }

  /**
   * Guards against hosts that stay apart because most listed ones were removed. After 8 s they no
   * longer expect those that they have not seen, and grant the whole quota.
   */
  @ParameterizedTest
  @CsvSource({"2, 22", "6, 66", "30, 330"})
  void hostsThatStartTogetherFindEachOtherAmongRemovedOnes(int live, int listed) {
    String[] addresses = new String[listed];
    Arrays.setAll(addresses, i -> "h" + i);
    for (int seed = 1; seed <= 8; seed++) {
      TestGroup group = new TestGroup(seed);
      for (int i = 0; i < live; i++) {
        group.start("h" + i, 1, addresses);
      }
      group.run(8 * SECOND);
      for (String address : group.running.keySet()) {
        assertThat(group.live(address)).hasSizeGreaterThan(live / 2);
      }
    }
  }

  @Test
  void emptySeedListRemovesNobody() {
    TestGroup group = new TestGroup(13);
    group.startAll(3);
    group.running.get("h0").replaceSeeds(List.of(), group.now);
    group.run(10 * SECOND);
    assertThat(group.live("h0")).containsExactly("h0", "h1", "h2");
  }

  @Test
  void liveMembersReturnsTheSameListUntilTheViewChanges() {
    TestGroup group = new TestGroup(14);
    group.startAll(3);
    Membership membership = group.running.get("h0");
    List<Member> before = membership.liveMembers();
    group.run(5 * SECOND);
    assertThat(membership.liveMembers()).isSameAs(before);
    membership.draining(true);
    assertThat(membership.liveMembers()).isNotSameAs(before);
  }

  @Test
  void viewsConvergeForAnyOrderOfUpdates() {
    List<StateUpdate> updates = new ArrayList<>();
    for (long generation = 1; generation <= 3; generation++) {
      for (MemberState state : List.of(MemberState.ALIVE, MemberState.SUSPECT)) {
        updates.add(new StateUpdate(5, state, generation, generation == 3, 0));
      }
    }
    for (int seed = 0; seed < 50; seed++) {
      Collections.shuffle(updates, new Random(seed));
      TestGroup group = new TestGroup(seed);
      Membership membership = group.start("h0", 1);
      Member known = TestGroup.member("h9", 1, 5);
      GossipHeader origin = GossipHeader.of(TestGroup.member("h8", 1, 8));
      membership.received(
          new GossipMessage.Ping(origin, 1, new GossipUpdates(List.of(known), List.of())), 0);
      for (StateUpdate update : updates) {
        GossipUpdates single = new GossipUpdates(List.of(), List.of(update));
        membership.received(new GossipMessage.Ping(origin, 1, single), 1);
      }
      Member seen = membership.find("h9");
      assertThat(seen.state()).isEqualTo(MemberState.SUSPECT);
      assertThat(seen.generation()).isEqualTo(3);
      assertThat(seen.draining()).isTrue();
    }
  }

  @Test
  void messageSizesStayWithinLimits() {
    TestGroup group = new TestGroup(15);
    group.startAll(60);
    group.run(30 * SECOND);
    for (GossipMessage message : group.messages) {
      int limit = message instanceof GossipMessage.SyncReply ? 1500 : 700;
      assertThat(message.encodedSize()).isLessThan(limit);
    }
  }

  @Test
  void nextTickIsWithinTheProbeInterval() {
    TestGroup group = new TestGroup(16);
    Membership membership = group.start("h0", 1);
    assertThat(membership.nextTick()).isBetween(0L, 500 * MILLI);
  }
}
