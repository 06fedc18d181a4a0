package io.samphiredyke.net.http;

/** The body of an answer that is sent in chunks. All methods may be called on any thread. */
public interface ResponseStream {

  /** Sends a chunk. Chunks written after the connection closed are dropped. */
  void write(byte[] chunk);

  /**
   * Returns whether the connection takes more chunks without building up a queue. That is so of a
   * closed one, which drops them.
   */
  boolean isWritable();

  /** Runs an action once, on the event loop, when the connection is writable or closed. */
  void whenWritable(Runnable action);

  /** Ends the answer. */
  void end();

  /** Closes the connection without ending the answer, so that the caller sees that it is cut. */
  void abort();
}
