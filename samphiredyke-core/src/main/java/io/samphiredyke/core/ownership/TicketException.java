package io.samphiredyke.core.ownership;

/** Thrown if a token is not a valid ticket. */
public final class TicketException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Reason for refusing a token. */
  public enum Reason {
    /** The token is not a well-formed ticket. */
    MALFORMED,
    /** The token's authentication code does not match any known key. */
    FORGED,
    /** The ticket is authentic but has expired. */
    EXPIRED
  }

  private final Reason reason;

  /**
   * Creates the exception.
   *
   * @param reason the reason for refusing the token
   */
  public TicketException(Reason reason) {
    super("ticket refused: " + reason);
    this.reason = reason;
  }

  /** Returns the reason for refusing the token. */
  public Reason reason() {
    return reason;
  }
}
