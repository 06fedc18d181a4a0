package io.samphiredyke.soak;

import io.samphiredyke.platform.standin.BodyKind;
import io.samphiredyke.platform.standin.CallerStandIn;

/** Compares the events that a caller received with the expected ones. */
final class StreamText {

  private static final String EVENT_END = "\n\n";

  private final CallerOutcome outcome;
  private int lastEvent;
  private String version;
  private String defect = "";

  /** Reads the events of a response. */
  StreamText(CallerOutcome outcome) {
    this.outcome = outcome;
    lastEvent = outcome.lastEventBefore();
    version = outcome.versionBefore();
    String text = outcome.body();
    int start = 0;
    int end = text.indexOf(EVENT_END);
    while (end >= 0 && defect.isEmpty()) {
      readEvent(text.substring(start, end + EVENT_END.length()));
      start = end + EVENT_END.length();
      end = text.indexOf(EVENT_END, start);
    }
    boolean isWhole = defect.isEmpty() && outcome.isWhole();
    if (isWhole && start < text.length()) {
      defect = "ends within an event";
    } else if (isWhole && lastEvent < CallerStandIn.eventCount(outcome.streamId())) {
      defect =
          "complete before its last event, "
              + lastEvent
              + " of "
              + CallerStandIn.eventCount(outcome.streamId());
    }
  }

  private void readEvent(String event) {
    String made = event.strip();
    made = made.substring(made.lastIndexOf(' ') + 1);
    if (isEvent(event, lastEvent + 1, made)) {
      lastEvent++;
      if (!version.isEmpty() && !version.equals(made)) {
        defect = "joined from two versions";
      }
      version = made;
      return;
    }
    for (int number = 1; number <= CallerStandIn.eventCount(outcome.streamId()); number++) {
      if (isEvent(event, number, made)) {
        defect = number <= lastEvent ? "event twice" : "event missing";
        return;
      }
    }
    defect = "foreign event";
  }

  private boolean isEvent(String text, int number, String made) {
    String id = outcome.streamId();
    return text.equals(CallerStandIn.event(id, number, made))
        || text.equals(BodyKind.of(id).event(id, number, made));
  }

  /** Returns the number of the last event that the caller has. */
  int lastEvent() {
    return lastEvent;
  }

  /** Returns the software version that made the last event, empty if there is none. */
  String version() {
    return version;
  }

  /** Returns what is wrong with the events, empty if nothing. */
  String defect() {
    return defect;
  }
}
