package io.samphiredyke.core.invariant;

/** Thrown when an invariant is violated. */
public final class InvariantViolationException extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  private final String name;

  /**
   * Creates the exception.
   *
   * @param invariant the violated invariant
   * @param detail description of the state that violates it
   */
  public InvariantViolationException(Invariant invariant, String detail) {
    super(invariant.name() + ": " + detail);
    this.name = invariant.name();
  }

  /** Returns the name of the violated invariant. */
  public String invariantName() {
    return name;
  }
}
