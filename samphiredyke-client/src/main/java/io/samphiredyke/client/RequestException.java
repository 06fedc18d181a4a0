package io.samphiredyke.client;

/** Base class of the exceptions for requests without a complete response. */
public abstract class RequestException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final String requestId;
  private final int status;

  /**
   * Creates an exception.
   *
   * @param requestId the last request id, empty if none was assigned
   * @param status the HTTP status of the response, 0 if there was none
   * @param message the reason
   */
  protected RequestException(String requestId, int status, String message) {
    super(message);
    this.requestId = requestId;
    this.status = status;
  }

  /** Returns the last request id, empty if none was assigned. */
  public String requestId() {
    return requestId;
  }

  /** Returns the HTTP status of the response, 0 if there was none. */
  public int status() {
    return status;
  }

  /** Returns whether the request was executed, as far as it is known. */
  public abstract ExecutionStatus executionStatus();
}
