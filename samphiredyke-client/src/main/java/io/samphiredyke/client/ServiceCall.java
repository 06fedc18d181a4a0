package io.samphiredyke.client;

import java.time.Duration;

/**
 * A call to a plain service.
 *
 * @param service the service's name
 * @param path the path below the service, without a leading slash, encoded
 * @param body the body, as JSON
 * @param deadline how long the caller waits for the answer
 */
public record ServiceCall(String service, String path, byte[] body, Duration deadline) {

  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(60);

  /** Returns a call with the usual deadline. */
  public static ServiceCall of(String service, String path, byte[] body) {
    return new ServiceCall(service, path, body, DEFAULT_DEADLINE);
  }

  /** Returns the same call with another deadline. */
  public ServiceCall withDeadline(Duration other) {
    return new ServiceCall(service, path, body, other);
  }
}
