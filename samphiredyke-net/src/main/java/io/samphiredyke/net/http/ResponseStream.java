package io.samphiredyke.net.http;

/** The body of a response that is sent in chunks. The methods are thread-safe. */
public interface ResponseStream {

  /** Sends a chunk. Chunks are dropped after the connection closed. */
  void write(byte[] chunk);

  /**
   * Returns whether the connection accepts more chunks without exceeding its write buffer. A closed
   * connection is writable, because it drops all chunks.
   */
  boolean isWritable();

  /** Runs an action once, on the event loop, as soon as the connection is writable or closed. */
  void whenWritable(Runnable action);

  /** Ends the response. */
  void end();

  /**
   * Closes the connection without ending the response, so that the caller detects the interruption.
   */
  void abort();
}
