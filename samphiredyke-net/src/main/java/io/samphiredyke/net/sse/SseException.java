package io.samphiredyke.net.sse;

/** A stream that is not valid {@code text/event-stream}. */
public final class SseException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the reason. */
  public SseException(String message) {
    super(message);
  }
}
