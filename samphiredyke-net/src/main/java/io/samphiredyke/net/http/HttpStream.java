package io.samphiredyke.net.http;

/** A streamed answer in progress. */
public interface HttpStream {

  /**
   * Closes the connection; the listener hears no more.
   *
   * @return whether nothing of the request was sent, nor will be
   */
  boolean close();

  /** Stops or restarts reading, so that a slow reader holds the sender back. */
  void setAutoRead(boolean reading);
}
