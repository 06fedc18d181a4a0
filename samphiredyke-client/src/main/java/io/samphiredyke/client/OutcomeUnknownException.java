package io.samphiredyke.client;

/**
 * Thrown if it cannot be determined whether a request was executed. Sending it again may execute it
 * twice.
 */
public final class OutcomeUnknownException extends RequestException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the request id, the HTTP status (or 0) and the reason. */
  public OutcomeUnknownException(String requestId, int status, String message) {
    super(requestId, status, message);
  }

  @Override
  public ExecutionStatus executionStatus() {
    return ExecutionStatus.UNKNOWN;
  }
}
