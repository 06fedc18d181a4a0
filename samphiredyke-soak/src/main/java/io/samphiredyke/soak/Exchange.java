package io.samphiredyke.soak;

import java.util.Locale;

/**
 * One request and its response, as seen by the caller.
 *
 * @param id the request id
 * @param kind the kind of request
 * @param host the host that received the request
 * @param sentMillis the wall-clock time of sending, milliseconds since the epoch
 * @param status the status of the response, 0 if there was none
 * @param isComplete whether the response was received to its end
 * @param defect the defect of the response, empty if there is none
 */
record Exchange(
    String id,
    RequestKind kind,
    String host,
    long sentMillis,
    int status,
    boolean isComplete,
    String defect) {

  private static final int OK = 200;

  boolean isServed() {
    return status == OK && isComplete;
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%s %s at %s: status %d, complete=%b %s",
        id,
        kind,
        host,
        status,
        isComplete,
        defect);
  }
}
