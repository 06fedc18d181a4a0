package io.samphiredyke.core.invariant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import org.junit.jupiter.api.Test;

class InvariantsTest {

  private static final Invariant MINOR = Invariant.counted("minor");
  private static final Invariant MAJOR = Invariant.fatal("major");

  @Test
  void countsEveryViolationAndStopsOnlyAtFatalOnes() {
    InvariantChecker invariants = new InvariantChecker(InvariantHandler.throwingIfFatal());
    assertThat(invariants.check(MINOR, true, () -> "")).isTrue();
    assertThat(invariants.check(MINOR, false, () -> "")).isFalse();
    assertThatExceptionOfType(InvariantViolationException.class)
        .isThrownBy(() -> invariants.check(MAJOR, false, () -> "state"))
        .withMessage("major: state");
    assertThat(invariants.checks()).containsEntry("minor", 2L).containsEntry("major", 1L);
    assertThat(invariants.violations()).containsEntry("minor", 1L).containsEntry("major", 1L);
  }
}
