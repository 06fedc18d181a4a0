package io.samphiredyke.core.invariant;

/** Receives each violation of an invariant. */
@FunctionalInterface
public interface InvariantHandler {

  /**
   * Handles one violation.
   *
   * @param invariant the invariant that does not hold
   * @param detail description of the state that violates it
   */
  void violated(Invariant invariant, String detail);

  /** Returns a handler that throws on every violation, for tests. */
  static InvariantHandler throwing() {
    return (invariant, detail) -> {
      throw new InvariantViolationException(invariant, detail);
    };
  }

  /** Returns a handler that throws only on violations of fatal invariants. */
  static InvariantHandler throwingIfFatal() {
    return (invariant, detail) -> {
      if (invariant.severity() == Invariant.Severity.FATAL) {
        throw new InvariantViolationException(invariant, detail);
      }
    };
  }
}
