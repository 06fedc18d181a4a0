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
    quarantine.add(one);
    quarantine.add(two);
    quarantine.add(one);
    other.add(two);
    assertThat(other.digest()).isNotEqualTo(quarantine.digest());
    other.add(one);
    assertThat(other.digest()).isEqualTo(quarantine.digest());
  }

  @Test
  void callerWithManyEntriesDisplacesOnlyItsOwn() {
    RequestFingerprint others = fingerprint("quiet", "/", "x");
    quarantine.add(others);
    RequestFingerprint first = new RequestFingerprint("busy", 0);
    for (int i = 0; i < RequestQuarantine.MAX_REQUESTS + 100; i++) {
      quarantine.add(new RequestFingerprint("busy", i));
    }
    assertThat(quarantine.size()).isEqualTo(RequestQuarantine.MAX_REQUESTS);
    assertThat(quarantine.contains(others)).isTrue();
    assertThat(quarantine.contains(first)).isFalse();
  }
}
