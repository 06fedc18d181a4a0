package io.samphiredyke.core.stream;

/**
 * The sequence of the events of one stream, over all attempts that deliver it.
 *
 * <p>Ids increase from event to event. Within an attempt any increase is accepted. The first event
 * of a resumption must be the next one if all steps so far were equal, else it must be a later one.
 * Not thread-safe. The reasons are in {@code docs/design/streams.md}.
 */
public final class EventSequence {

  private static final long NO_ID = -1;
  private static final long UNKNOWN_STEP = 0;
  private static final long VARYING_STEP = -1;

  private long lastId;
  private long step = UNKNOWN_STEP;
  private boolean isFirstOfAttempt = true;
  private boolean hasPassed;
  private boolean endsNumbered = true;

  /**
   * Creates the sequence of a stream whose first attempt is about to begin.
   *
   * @param afterId id of the last event that the caller has, or -1 if it has none
   */
  public EventSequence(long afterId) {
    this.lastId = Math.max(NO_ID, afterId);
  }

  /** Prepares for the events of another attempt. */
  public void attemptBegins() {
    isFirstOfAttempt = true;
  }

  /** Decides on the next event of the current attempt. */
  public EventDecision accept(StreamEvent event) {
    return switch (event.kind()) {
      case OVERSIZED -> EventDecision.OVERSIZED;
      case RESPONSE_HEAD -> EventDecision.RESPONSE_HEAD;
      case MALFORMED_ID -> EventDecision.MALFORMED_ID;
      case COMMENT -> acceptComment();
      case NO_EVENT -> isResumption() ? EventDecision.UNNUMBERED_RESUMPTION : acceptComment();
      case UNNUMBERED -> acceptUnnumbered();
      case NUMBERED -> acceptNumbered(event.id());
    };
  }

  private EventDecision acceptComment() {
    return isFirstOfAttempt ? EventDecision.HOLD : EventDecision.PASS;
  }

  /** Returns whether the next event is the first one after an event that the caller has. */
  private boolean isResumption() {
    return isFirstOfAttempt && lastId >= 0;
  }

  private EventDecision acceptUnnumbered() {
    if (isResumption()) {
      return EventDecision.UNNUMBERED_RESUMPTION;
    }
    endsNumbered = false;
    passed();
    return EventDecision.PASS;
  }

  private EventDecision acceptNumbered(long id) {
    if (id == lastId) {
      return EventDecision.REPEATED;
    }
    if (id < lastId) {
      return EventDecision.EARLIER;
    }
    if (isFirstOfAttempt && step > 0 && id - lastId > step) {
      return EventDecision.GAP;
    }
    if (hasPassed && lastId >= 0) {
      recordStep(id - lastId);
    }
    lastId = id;
    endsNumbered = true;
    passed();
    return EventDecision.PASS;
  }

  private void recordStep(long newStep) {
    step = step == UNKNOWN_STEP || step == newStep ? newStep : VARYING_STEP;
  }

  private void passed() {
    isFirstOfAttempt = false;
    hasPassed = true;
  }

  /** Returns whether an event has been passed on. */
  public boolean hasPassed() {
    return hasPassed;
  }

  /**
   * Returns whether another attempt can continue after the last event: it has an id, so that an
   * endpoint can be told where to continue.
   */
  public boolean canResume() {
    return lastId >= 0 && endsNumbered;
  }

  /** Returns the id of the last event that the caller has, or -1. */
  public long lastId() {
    return lastId;
  }

  /** Returns the lowest id that the next event may have. */
  public long lowestNextId() {
    return lastId == Long.MAX_VALUE ? lastId : lastId + 1;
  }
}
