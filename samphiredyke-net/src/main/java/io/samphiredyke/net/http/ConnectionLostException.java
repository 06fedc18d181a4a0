package io.samphiredyke.net.http;

import java.io.IOException;

/** Thrown if a connection failed or timed out after the request may have been sent. */
public final class ConnectionLostException extends IOException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message. */
  public ConnectionLostException(String message) {
    super(message);
  }
}
