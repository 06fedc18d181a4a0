package io.samphiredyke.core.invariant;

/** Reports that an invariant does not hold. */
public final class InvariantViolationException extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  private final String name;

  /**
   * Creates the exception.
   *
   * @param invariant the invariant that does not hold
   * @param detail the state in which it was found
   */
  public InvariantViolationException(Invariant invariant, String detail) {
    super(invariant.name() + ": " + detail);
    this.name = invariant.name();
  }

  /** Returns the name of the invariant that does not hold. */
  public String invariantName() {
    return name;
  }
}
