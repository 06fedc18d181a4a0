package io.samphiredyke.client;

/** Thrown if a request was executed but its complete response cannot be obtained. */
public final class ResponseUnavailableException extends RequestException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the request id, the HTTP status and the reason. */
  public ResponseUnavailableException(String requestId, int status, String message) {
    super(requestId, status, message);
  }

  @Override
  public ExecutionStatus executionStatus() {
    return ExecutionStatus.EXECUTED;
  }
}
