package io.samphiredyke.client;

/** A request of which the system can't tell whether it ran; a repetition may run it twice. */
public final class OutcomeUnknownException extends RequestException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the request's id, the HTTP status (or 0) and the reason. */
  public OutcomeUnknownException(String requestId, int status, String message) {
    super(requestId, status, message);
  }

  @Override
  public ExecutionStatus executionStatus() {
    return ExecutionStatus.UNKNOWN;
  }
}
