package io.samphiredyke.standins.log;

/** Thrown by a read from an offset whose record is no longer retained. */
public final class OffsetExpiredException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final long first;

  /** Creates an exception that reports the oldest retained offset. */
  public OffsetExpiredException(long first) {
    super("the oldest retained offset is " + first);
    this.first = first;
  }

  /** Returns the oldest retained offset. */
  public long first() {
    return first;
  }
}
