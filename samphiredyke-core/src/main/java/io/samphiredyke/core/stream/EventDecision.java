package io.samphiredyke.core.stream;

/** What becomes of an event, or why the attempt that delivered it is ended. */
public enum EventDecision {
  /** The event is passed on. */
  PASS("passed on"),
  /** It is passed on together with the next event of the attempt, or dropped with the attempt. */
  HOLD("held"),
  /** The id is the one of the last event. */
  REPEATED("a repeated event"),
  /** The id is lower than that of the last event. */
  EARLIER("an earlier event"),
  /** A resumption does not continue with the next event. */
  GAP("a gap after the last event"),
  /** The id is not a number. */
  MALFORMED_ID("an event id that is no number"),
  /** The first event of a resumption has no id, or it is no event at all. */
  UNNUMBERED_RESUMPTION("a continuation without event id"),
  /** The event contains the head of a response, so that the body goes on with another one. */
  RESPONSE_HEAD("the head of another response"),
  /** The event is larger than permitted. */
  OVERSIZED("an event above the permitted size"),
  /** The response ended before the end of an event. */
  TRUNCATED("the stream ended within an event");

  private final String reason;

  EventDecision(String reason) {
    this.reason = reason;
  }

  /** Returns whether the event and all that follows it in the same attempt is unusable. */
  public boolean isFaulty() {
    return this != PASS && this != HOLD;
  }

  /** Returns the reason in words, for log lines and metrics. */
  public String reason() {
    return reason;
  }
}
