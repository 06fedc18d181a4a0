package io.samphiredyke.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class RequestQuarantineTest {

  private final RequestQuarantine quarantine = new RequestQuarantine();

  private static RequestFingerprint fingerprint(String caller, String target, String body) {
    return RequestFingerprint.of(caller, "POST", target, body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void requestsAreToldApartByCallerTargetAndBody() {
    RequestFingerprint request = fingerprint("a", "/x/1", "body");
    assertThat(fingerprint("a", "/x/1", "body")).isEqualTo(request);
    assertThat(fingerprint("b", "/x/1", "body")).isNotEqualTo(request);
    assertThat(fingerprint("a", "/x/2", "body")).isNotEqualTo(request);
    assertThat(fingerprint("a", "/x/1", "other")).isNotEqualTo(request);
    assertThat(fingerprint("a", "/x/1b", "ody")).isNotEqualTo(request);
  }

  @Test
  void digestDependsOnTheEntriesAlone() {
    RequestQuarantine other = new RequestQuarantine();
    RequestFingerprint one = fingerprint("a", "/", "1");
    RequestFingerprint two = fingerprint("a", "/", "2");
    quarantine.add(one, 1, 0);
    quarantine.add(two, 1, 0);
    quarantine.add(one, 1, 0);
    other.add(two, 1, 0);
    assertThat(other.digest()).isNotEqualTo(quarantine.digest());
    other.add(one, 1, 0);
    assertThat(other.digest()).isEqualTo(quarantine.digest());
  }

  private static final RequestFingerprint REQUEST = new RequestFingerprint("a", 1);
  private static final long SECOND = 1_000_000_000;

  /** A sound request that was blamed by mistake is served again after one trial. */
  @Test
  void servedTrialReleasesTheRequest() {
    quarantine.add(REQUEST, 1, 0);
    assertThat(quarantine.mustRefuse(REQUEST, SECOND / 2)).isTrue();
    assertThat(quarantine.mustRefuse(REQUEST, SECOND)).isFalse();
    quarantine.beginTrial(REQUEST, SECOND);
    assertThat(quarantine.mustRefuse(REQUEST, SECOND)).isTrue();
    assertThat(quarantine.release(REQUEST)).isEqualTo(1);
    assertThat(quarantine.contains(REQUEST)).isFalse();
    assertThat(quarantine.digest()).isZero();
  }

  @Test
  void requestThatCrashesEndpointsHasTwoTrials() {
    quarantine.add(REQUEST, 1, 0);
    long now = 0;
    int trials = 0;
    for (int second = 0; second < 100_000; second++) {
      now += SECOND;
      if (!quarantine.mustRefuse(REQUEST, now)) {
        quarantine.beginTrial(REQUEST, now);
        assertThat(quarantine.strike(REQUEST, now)).isTrue();
        trials++;
      }
    }
    assertThat(trials).isEqualTo(2);
    assertThat(quarantine.retryAfterMillis(REQUEST, now)).isEqualTo(3_600_000);
  }

  /** Two hosts that do not hear of each other in time both begin the first trial. */
  @Test
  void trialsThatBeginAtTwoHostsAtOnceCauseThreeRuns() {
    RequestQuarantine other = new RequestQuarantine();
    quarantine.add(REQUEST, 1, 0);
    other.add(REQUEST, 1, 0);
    quarantine.beginTrial(REQUEST, SECOND);
    other.beginTrial(REQUEST, SECOND);
    quarantine.strike(REQUEST, SECOND);
    other.strike(REQUEST, SECOND);
    int runs = 2;
    for (long now = SECOND; now < 1_000 * SECOND; now += SECOND) {
      quarantine.merge(REQUEST, other.find(REQUEST));
      other.merge(REQUEST, quarantine.find(REQUEST));
      assertThat(other.mustRefuse(REQUEST, now)).isEqualTo(quarantine.mustRefuse(REQUEST, now));
      if (!quarantine.mustRefuse(REQUEST, now)) {
        other.merge(REQUEST, quarantine.beginTrial(REQUEST, now));
        assertThat(other.mustRefuse(REQUEST, now)).isTrue();
        quarantine.strike(REQUEST, now);
        runs++;
      }
    }
    assertThat(runs).isEqualTo(3);
  }

  @Test
  void trialThatShowsNothingIsRepeated() {
    quarantine.add(REQUEST, 1, 0);
    quarantine.beginTrial(REQUEST, SECOND);
    quarantine.endTrial(REQUEST, 2 * SECOND);
    assertThat(quarantine.mustRefuse(REQUEST, 2 * SECOND)).isTrue();
    assertThat(quarantine.mustRefuse(REQUEST, 3 * SECOND)).isFalse();
  }

  /** Datagrams that were sent before a release, or a host of an earlier build, don't undo it. */
  @Test
  void statementFromBeforeTheReleaseIsIgnored() {
    quarantine.add(REQUEST, 1, 0);
    quarantine.release(REQUEST);
    assertThat(quarantine.merge(REQUEST, new RequestStanding(1, 3, 0))).isFalse();
    assertThat(quarantine.contains(REQUEST)).isFalse();
    assertThat(quarantine.add(REQUEST, 1, 0)).isTrue();
    assertThat(quarantine.release(REQUEST, 1)).isFalse();
    assertThat(quarantine.release(REQUEST, 2)).isTrue();
  }

  @Test
  void hostsAgreeOnTheMostStrikesAndTheLatestTrial() {
    quarantine.add(REQUEST, 1, 0);
    assertThat(quarantine.merge(REQUEST, new RequestStanding(1, 1, 8 * SECOND))).isFalse();
    assertThat(quarantine.mustRefuse(REQUEST, 7 * SECOND)).isTrue();
    assertThat(quarantine.merge(REQUEST, new RequestStanding(1, 2, 3 * SECOND))).isTrue();
    assertThat(quarantine.merge(REQUEST, new RequestStanding(1, 1, 9 * SECOND))).isFalse();
    assertThat(quarantine.mustRefuse(REQUEST, 3 * SECOND)).isFalse();
  }

  @Test
  void callerWithManyEntriesDisplacesOnlyItsOwn() {
    RequestFingerprint others = fingerprint("quiet", "/", "x");
    quarantine.add(others, 1, 0);
    RequestFingerprint first = new RequestFingerprint("busy", 0);
    for (int i = 0; i < RequestQuarantine.MAX_REQUESTS + 100; i++) {
      quarantine.add(new RequestFingerprint("busy", i), 1, 0);
    }
    assertThat(quarantine.size()).isEqualTo(RequestQuarantine.MAX_REQUESTS);
    assertThat(quarantine.contains(others)).isTrue();
    assertThat(quarantine.contains(first)).isFalse();
  }
}
