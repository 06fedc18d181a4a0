package io.samphiredyke.core.invariant;

/** Receives each violation of an invariant. */
@FunctionalInterface
public interface InvariantHandler {

  /**
   * Handles one violation.
   *
   * @param invariant the invariant that does not hold
   * @param detail the state in which it was found
   */
  void violated(Invariant invariant, String detail);

  /** Returns a handler that throws on every violation, for tests. */
  static InvariantHandler throwing() {
    return (invariant, detail) -> {
      throw new InvariantViolationException(invariant, detail);
    };
  }

  /** Returns a handler that throws only where going on would break a promise. */
  static InvariantHandler throwingIfFatal() {
    return (invariant, detail) -> {
      if (invariant.severity() == Invariant.Severity.FATAL) {
        throw new InvariantViolationException(invariant, detail);
      }
    };
  }
}
