package io.samphiredyke.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CrashSuspectsTest {

  private static final long MILLI = 1_000_000;
  private static final RequestFingerprint GUILTY = request(1);
  private static final RequestFingerprint SOUND = request(2);

  private final CrashSuspects suspects = new CrashSuspects();
  private long now = 1_000 * MILLI;

  private static RequestFingerprint request(long content) {
    return new RequestFingerprint("customer", content);
  }

  private void crash(int instance, RequestFingerprint... running) {
    now += 1_000 * MILLI;
    for (RequestFingerprint request : running) {
      suspects.crashed(request, "i-" + instance, now);
    }
  }

  private void settle() {
    now += 300 * MILLI;
  }

  @Test
  void requestUnderWhichThreeInstancesEndIsFound() {
    crash(1, GUILTY);
    crash(2, GUILTY);
    settle();
    assertThat(suspects.findCauses(now)).isEmpty();
    crash(3, GUILTY);
    settle();
    assertThat(suspects.findCauses(now)).containsExactly(GUILTY);
    assertThat(suspects.isEmpty()).isTrue();
  }

  @Test
  void decisionWaitsForTheReportsOfTheLastCrash() {
    crash(1, GUILTY, SOUND);
    crash(2, GUILTY, SOUND);
    crash(3, SOUND);
    assertThat(suspects.isUndecided(SOUND, now)).isTrue();
    assertThat(suspects.findCauses(now)).isEmpty();
    suspects.crashed(GUILTY, "i-3", now + 100 * MILLI);
    settle();
    assertThat(suspects.findCauses(now)).isEmpty();
  }

  @Test
  void requestThatRanBesideTheSameCrashesIsNotFound() {
    for (int instance = 1; instance <= 3; instance++) {
      crash(instance, GUILTY, SOUND);
    }
    settle();
    assertThat(suspects.findCauses(now)).isEmpty();
    crash(4, GUILTY);
    settle();
    assertThat(suspects.findCauses(now)).containsExactly(GUILTY);
    assertThat(suspects.isSuspect(SOUND)).isFalse();
  }

  @Test
  void requestsThatFitAlikeAreFoundAtTheFifthCrash() {
    for (int instance = 1; instance <= 4; instance++) {
      crash(instance, GUILTY, SOUND);
    }
    settle();
    assertThat(suspects.findCauses(now)).isEmpty();
    crash(5, GUILTY, SOUND);
    settle();
    assertThat(suspects.findCauses(now)).containsExactlyInAnyOrder(GUILTY, SOUND);
  }

  @Test
  void servedRequestIsCleared() {
    crash(1, SOUND);
    crash(2, SOUND);
    assertThat(suspects.mustBeIsolated(SOUND)).isTrue();
    assertThat(suspects.served(SOUND)).isTrue();
    crash(3, SOUND);
    settle();
    assertThat(suspects.findCauses(now)).isEmpty();
    assertThat(suspects.mustBeIsolated(SOUND)).isFalse();
  }

  /** Connections that were reset look like a crash until the endpoint responds again. */
  @Test
  void instanceThatRespondsLaterDidNotCrash() {
    for (int instance = 1; instance <= 3; instance++) {
      crash(instance, SOUND);
    }
    assertThat(suspects.responded("i-3", now - MILLI, now)).isFalse();
    assertThat(suspects.responded("i-3", now + MILLI, now + 2 * MILLI)).isTrue();
    assertThat(suspects.crashed(SOUND, "i-3", now + 3 * MILLI)).isFalse();
    settle();
    assertThat(suspects.findCauses(now)).isEmpty();
  }

  /** An endpoint that starts again under its id may respond before its new entry is known. */
  @Test
  void responseAfterAConfirmedCrashProvesNothing() {
    crash(1, GUILTY);
    suspects.confirmed("i-1");
    assertThat(suspects.responded("i-1", now + MILLI, now + 2 * MILLI)).isFalse();
    assertThat(suspects.dismiss("i-1", now)).isFalse();
    assertThat(suspects.isSuspect(GUILTY)).isTrue();
  }

  @Test
  void crashesOfAKnownCauseTellNothingAboutOthers() {
    crash(1, SOUND);
    crash(2, SOUND);
    crash(3, SOUND);
    suspects.explain(GUILTY, "i-3", now);
    settle();
    assertThat(suspects.findCauses(now)).isEmpty();
    assertThat(suspects.crashed(SOUND, "i-3", now)).isFalse();
  }

  /** A sound request ran beside two crashes of one cause and broke off once by itself. */
  @Test
  void crashesOfTheStrongestCauseDoNotCountAgainstOthers() {
    crash(1, GUILTY);
    crash(2, GUILTY);
    crash(3, GUILTY, SOUND);
    crash(4, GUILTY, SOUND);
    crash(5, SOUND);
    settle();
    assertThat(suspects.findCauses(now)).containsExactly(GUILTY);
    assertThat(suspects.isSuspect(SOUND)).isTrue();
    assertThat(suspects.mustBeIsolated(SOUND)).isFalse();
  }

  /** The request that was found first was sound: the evidence against the others is kept. */
  @Test
  void crashesCountAgainIfTheirSupposedCauseIsServed() {
    crash(1, GUILTY, SOUND);
    crash(2, GUILTY, SOUND);
    crash(3, GUILTY, SOUND);
    crash(4, SOUND);
    settle();
    assertThat(suspects.findCauses(now)).containsExactly(SOUND);
    suspects.explain(SOUND, "i-5", now);
    suspects.crashed(GUILTY, "i-5", now);
    assertThat(suspects.isSuspect(GUILTY)).isFalse();
    suspects.served(SOUND);
    settle();
    assertThat(suspects.findCauses(now)).containsExactly(GUILTY);
  }

  @Test
  void requestThatWasServedSinceIsNotSuspectedAgain() {
    crash(1, GUILTY, SOUND);
    crash(2, GUILTY, SOUND);
    crash(3, GUILTY, SOUND);
    crash(4, GUILTY);
    settle();
    assertThat(suspects.findCauses(now)).containsExactly(GUILTY);
    suspects.served(SOUND);
    suspects.served(GUILTY);
    assertThat(suspects.isSuspect(SOUND)).isFalse();
  }

  /** Three runs later than the third crash are tolerated; crashes and trials count alike. */
  @Test
  void requestThatWasFoundLateHasFewerTrials() {
    for (int instance = 1; instance <= 5; instance++) {
      crash(instance, GUILTY, SOUND);
    }
    settle();
    assertThat(suspects.findCauses(now)).contains(GUILTY);
    assertThat(suspects.strikesOf(GUILTY)).isEqualTo(2);
  }

  /** A caller that sends ever new crashing requests does not displace one with two crashes. */
  @Test
  void suspectWithTheFewestCrashesIsDroppedFirst() {
    crash(1, GUILTY);
    crash(2, GUILTY);
    for (int i = 0; i < 3_000; i++) {
      crash(10 + i, request(100 + i));
    }
    assertThat(suspects.size()).isLessThanOrEqualTo(1_025);
    crash(3, GUILTY);
    settle();
    assertThat(suspects.findCauses(now)).containsExactly(GUILTY);
  }

  /** What is sent to an instance that is already down ends as well, but is not the cause. */
  @Test
  void requestSentAfterACrashDidNotCauseIt() {
    crash(1, GUILTY);
    assertThat(suspects.hadCrashedBefore("i-1", now - MILLI)).isFalse();
    assertThat(suspects.hadCrashedBefore("i-1", now + MILLI)).isTrue();
    assertThat(suspects.hadCrashedBefore("i-2", now + MILLI)).isFalse();
  }
}
