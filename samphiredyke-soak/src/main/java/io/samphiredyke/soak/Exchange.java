package io.samphiredyke.soak;

import java.util.Locale;

/**
 * What a caller saw of one request.
 *
 * @param id its id
 * @param kind its kind
 * @param host host that got it
 * @param sentMillis time of day at which it was sent, milliseconds
 * @param status status of the answer, 0 if none came
 * @param isWhole whether the answer ended properly
 * @param note what was wrong, empty if nothing
 */
record Exchange(
    String id,
    RequestKind kind,
    String host,
    long sentMillis,
    int status,
    boolean isWhole,
    String note) {

  private static final int OK = 200;

  boolean isServed() {
    return status == OK && isWhole;
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT, "%s %s at %s: %d whole=%b %s", id, kind, host, status, isWhole, note);
  }
}
