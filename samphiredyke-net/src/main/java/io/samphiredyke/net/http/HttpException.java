package io.samphiredyke.net.http;

/** Thrown if a request cannot be served; contains the HTTP status for the caller. */
public class HttpException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int status;

  /** Creates an exception with an HTTP status and a message for the caller. */
  public HttpException(int status, String message) {
    super(message);
    this.status = status;
  }

  /** Returns the HTTP status. */
  public final int status() {
    return status;
  }
}
