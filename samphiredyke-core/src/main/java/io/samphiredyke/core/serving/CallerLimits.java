package io.samphiredyke.core.serving;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes longest head of a request, bytes
 * @param maxBodyBytes longest body of a request, bytes
 * @param headerTimeoutMillis longest time for a request's head to arrive, milliseconds
 * @param idleTimeoutMillis longest time without a request on a connection, milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

  /** Limits until a configuration is known. */
  public static CallerLimits defaults() {
    return new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
  }
}
