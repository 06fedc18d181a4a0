package io.samphiredyke.core.serving;

/**
 * Where a stream began; another endpoint may continue it only if it is of the same origin.
 *
 * @param service name of the service
 * @param version version of the endpoint's software
 */
public record StreamOrigin(String service, String version) {

  /** Returns whether an endpoint may continue the stream. */
  public boolean includes(EndpointRecord endpoint) {
    return endpoint.service().equals(service) && endpoint.version().equals(version);
  }
}
