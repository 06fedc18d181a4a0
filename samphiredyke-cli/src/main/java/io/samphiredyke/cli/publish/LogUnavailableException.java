package io.samphiredyke.cli.publish;

/** Reports that the log could not be used. */
public final class LogUnavailableException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean wasSent;

  /**
   * Creates the exception.
   *
   * @param message what happened
   * @param wasSent whether a request may have taken effect
   */
  public LogUnavailableException(String message, boolean wasSent) {
    super(message);
    this.wasSent = wasSent;
  }

  /** Returns whether a request may have taken effect. */
  public boolean wasSent() {
    return wasSent;
  }
}
