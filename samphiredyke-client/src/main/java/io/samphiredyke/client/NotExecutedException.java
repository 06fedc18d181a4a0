package io.samphiredyke.client;

/**
 * Thrown if a request was not executed and never will be. It is safe to send it again as a new
 * request.
 */
public final class NotExecutedException extends RequestException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the last request id, the HTTP status (or 0) and the reason. */
  public NotExecutedException(String requestId, int status, String message) {
    super(requestId, status, message);
  }

  @Override
  public ExecutionStatus executionStatus() {
    return ExecutionStatus.NOT_EXECUTED;
  }
}
