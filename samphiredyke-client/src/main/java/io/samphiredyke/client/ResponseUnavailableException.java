package io.samphiredyke.client;

/** A request that ran but whose whole answer can't be had. */
public final class ResponseUnavailableException extends RequestException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the request's id, the HTTP status and the reason. */
  public ResponseUnavailableException(String requestId, int status, String message) {
    super(requestId, status, message);
  }

  @Override
  public ExecutionStatus executionStatus() {
    return ExecutionStatus.EXECUTED;
  }
}
