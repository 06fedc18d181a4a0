package io.samphiredyke.client;

import java.time.Duration;

/**
 * A request to a plain service.
 *
 * @param service the name of the service
 * @param path the encoded path below the service, without a leading slash
 * @param body the body, as JSON
 * @param deadline the time limit for the response
 */
public record ServiceCall(String service, String path, byte[] body, Duration deadline) {

  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(60);

  /** Returns a request with the default deadline. */
  public static ServiceCall of(String service, String path, byte[] body) {
    return new ServiceCall(service, path, body, DEFAULT_DEADLINE);
  }

  /** Returns a copy with another deadline. */
  public ServiceCall withDeadline(Duration newDeadline) {
    return new ServiceCall(service, path, body, newDeadline);
  }
}
