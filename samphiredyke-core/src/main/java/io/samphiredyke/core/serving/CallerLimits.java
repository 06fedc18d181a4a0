package io.samphiredyke.core.serving;

/**
 * Size limits and timeouts of caller connections.
 *
 * @param maxHeaderBytes largest request line and headers together, bytes
 * @param maxBodyBytes largest body of a request, bytes
 * @param headerTimeoutMillis timeout for the headers of a request to arrive, milliseconds
 * @param idleTimeoutMillis timeout of a connection without a request, milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

  /** Returns the limits in effect until a configuration is known. */
  public static CallerLimits defaults() {
    return new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
  }
}
