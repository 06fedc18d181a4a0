package io.samphiredyke.core.stream;

/**
 * What the order of a stream depends on in one complete event.
 *
 * @param kind what was received
 * @param id id of the event, -1 unless it is numbered
 */
public record StreamEvent(Kind kind, long id) {

  /** What was received. */
  public enum Kind {
    /** An event whose id is a number. */
    NUMBERED,
    /** An event with data and without an id. */
    UNNUMBERED,
    /** An event whose id is not a number from 0 to {@link Long#MAX_VALUE}. */
    MALFORMED_ID,
    /** Lines of the head of a response, which are part of no event. */
    RESPONSE_HEAD,
    /** Comments or known fields without data and id. */
    COMMENT,
    /** Lines that are no known field of an event, without data and id. */
    NO_EVENT,
    /** An event that exceeds the permitted size; it may still be incomplete. */
    OVERSIZED
  }

  private static final long NO_ID = -1;

  /** Returns an event with an id as received, whose surrounding blanks are ignored. */
  public static StreamEvent withId(String text) {
    String digits = text.strip();
    boolean isNumber = !digits.isEmpty() && digits.chars().allMatch(c -> c >= '0' && c <= '9');
    if (!isNumber) {
      return of(Kind.MALFORMED_ID);
    }
    try {
      return numbered(Long.parseLong(digits));
    } catch (NumberFormatException e) {
      // The number is too large.
      return of(Kind.MALFORMED_ID);
    }
  }

  /** Returns an event with an id of at least 0. */
  public static StreamEvent numbered(long id) {
    return new StreamEvent(Kind.NUMBERED, id);
  }

  /** Returns an event without a usable id. */
  public static StreamEvent of(Kind kind) {
    return new StreamEvent(kind, NO_ID);
  }
}
