package io.samphiredyke.client;

/** A request that didn't run and never will; it may be made again as a new request. */
public final class NotExecutedException extends RequestException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the request's last id, the HTTP status (or 0) and the reason. */
  public NotExecutedException(String requestId, int status, String message) {
    super(requestId, status, message);
  }

  @Override
  public ExecutionStatus executionStatus() {
    return ExecutionStatus.NOT_EXECUTED;
  }
}
