package io.samphiredyke.core.ownership;

/** Reports that a token is not a valid ticket. */
public final class TicketException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Why a token is refused. */
  public enum Reason {
    /** The token does not have the form of a ticket. */
    MALFORMED,
    /** No known key authenticates the token. */
    FORGED,
    /** The ticket was valid and has expired. */
    EXPIRED
  }

  private final Reason reason;

  /**
   * Creates the exception.
   *
   * @param reason why the token is refused
   */
  public TicketException(Reason reason) {
    super("ticket refused: " + reason);
    this.reason = reason;
  }

  /** Returns why the token is refused. */
  public Reason reason() {
    return reason;
  }
}
