package io.samphiredyke.client;

/** A request whose deadline passed before its outcome was known. */
public final class DeadlineExceededException extends RequestException {

  private static final long serialVersionUID = 1L;

  private final ExecutionStatus ran;

  /**
   * Creates an exception.
   *
   * @param requestId the last request id, empty if none was assigned
   * @param ran {@link ExecutionStatus#NOT_EXECUTED} if nothing was ever sent under an open id
   * @param message what was awaited
   */
  public DeadlineExceededException(String requestId, ExecutionStatus ran, String message) {
    super(requestId, 0, message);
    this.ran = ran;
  }

  @Override
  public ExecutionStatus executionStatus() {
    return ran;
  }
}
