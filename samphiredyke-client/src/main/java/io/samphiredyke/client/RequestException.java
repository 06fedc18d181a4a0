package io.samphiredyke.client;

/** A request that has no whole answer. */
public abstract class RequestException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final String requestId;
  private final int status;

  /**
   * Creates an exception.
   *
   * @param requestId the last request id, empty if none was assigned
   * @param status the HTTP status that said so, 0 if there was none
   * @param message what happened
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

  /** Returns the HTTP status that said so, 0 if there was none. */
  public int status() {
    return status;
  }

  /** Returns what is known about whether the request ran. */
  public abstract ExecutionStatus executionStatus();
}
