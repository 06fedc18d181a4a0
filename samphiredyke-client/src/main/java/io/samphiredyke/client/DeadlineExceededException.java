package io.samphiredyke.client;

/** Thrown if the deadline of a request passed before its outcome was known. */
public final class DeadlineExceededException extends RequestException {

  private static final long serialVersionUID = 1L;

  private final ExecutionStatus executionStatus;

  /**
   * Creates an exception.
   *
   * @param requestId the last request id, empty if none was assigned
   * @param executionStatus {@link ExecutionStatus#NOT_EXECUTED} if every id that may have been sent
   *     was reported as not executed, else {@link ExecutionStatus#UNKNOWN}
   * @param message the reason
   */
  public DeadlineExceededException(
      String requestId, ExecutionStatus executionStatus, String message) {
    super(requestId, 0, message);
    this.executionStatus = executionStatus;
  }

  @Override
  public ExecutionStatus executionStatus() {
    return executionStatus;
  }
}
