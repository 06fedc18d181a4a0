package io.samphiredyke.standins.log;

/** A read from an offset whose record is no longer kept. */
public final class OffsetExpiredException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final long first;

  /** Creates an exception that names the oldest offset that is kept. */
  public OffsetExpiredException(long first) {
    super("the oldest offset that is kept is " + first);
    this.first = first;
  }

  /** Returns the oldest offset that is kept. */
  public long first() {
    return first;
  }
}
