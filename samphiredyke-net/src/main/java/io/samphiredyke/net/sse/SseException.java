package io.samphiredyke.net.sse;

/** Thrown if a stream is not valid {@code text/event-stream}. */
public final class SseException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message. */
  public SseException(String message) {
    super(message);
  }
}
