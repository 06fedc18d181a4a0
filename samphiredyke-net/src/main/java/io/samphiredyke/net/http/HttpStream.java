package io.samphiredyke.net.http;

/** A streamed response in progress, as seen by the client. */
public interface HttpStream {

  /**
   * Closes the connection. The listener is not called any more.
   *
   * @return true if no part of the request was sent or will be sent
   */
  boolean close();

  /** Pauses or resumes reading from the connection, to apply back pressure to the sender. */
  void setAutoRead(boolean reading);
}
