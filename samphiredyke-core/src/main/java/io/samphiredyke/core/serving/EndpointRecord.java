package io.samphiredyke.core.serving;

/**
 * Registry entry of an endpoint, as published by the endpoint.
 *
 * @param id instance id, usually a new one after each start
 * @param service name of the service that it serves
 * @param address {@code ip:port}
 * @param dataCentre data centre where it runs
 * @param slots number of requests that it runs concurrently, at least 1
 * @param isDraining whether it accepts no new requests
 * @param warmUpRemainingMillis remaining time of its warm-up, during which it is slow, milliseconds
 * @param startedAtMillis time of its start, milliseconds since the epoch; 0 if unknown
 */
public record EndpointRecord(
    String id,
    String service,
    String address,
    String dataCentre,
    int slots,
    boolean isDraining,
    long warmUpRemainingMillis,
    long startedAtMillis) {

  /** Returns the entry without the remaining warm-up, which changes with each heartbeat. */
  public EndpointRecord withoutWarmUp() {
    return new EndpointRecord(
        id, service, address, dataCentre, slots, isDraining, 0, startedAtMillis);
  }
}
