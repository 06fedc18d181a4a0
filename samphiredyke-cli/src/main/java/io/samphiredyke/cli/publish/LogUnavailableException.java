package io.samphiredyke.cli.publish;

/** Thrown when the log does not respond, or sends an error or a malformed response. */
public final class LogUnavailableException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveTakenEffect;

  /**
   * Creates the exception.
   *
   * @param message a description of the failure
   * @param mayHaveTakenEffect whether the request may have taken effect
   */
  public LogUnavailableException(String message, boolean mayHaveTakenEffect) {
    super(message);
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }

  /** Returns whether the request may have taken effect. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }
}
