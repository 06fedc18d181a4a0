package io.samphiredyke.client;

/** A request whose deadline passed before its outcome was known. */
public final class DeadlineException extends RequestException {

  private static final long serialVersionUID = 1L;

  private final Ran ran;

  /**
   * Creates an exception.
   *
   * @param requestId the last request id, empty if none was assigned
   * @param ran {@link Ran#NO} if nothing was ever sent under an open id
   * @param message what was awaited
   */
  public DeadlineException(String requestId, Ran ran, String message) {
    super(requestId, 0, message);
    this.ran = ran;
  }

  @Override
  public Ran ran() {
    return ran;
  }
}
