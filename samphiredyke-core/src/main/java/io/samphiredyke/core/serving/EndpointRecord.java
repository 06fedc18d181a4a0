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
 * @param heartbeat number of the heartbeat since its start, which orders the entries of an instance
 */
public record EndpointRecord(
    String id,
    String service,
    String address,
    String dataCentre,
    int slots,
    boolean isDraining,
    long warmUpRemainingMillis,
    long startedAtMillis,
    long heartbeat) {

  /** Returns the entry without the fields that change with each heartbeat. */
  public EndpointRecord withoutHeartbeat() {
    return new EndpointRecord(
        id, service, address, dataCentre, slots, isDraining, 0, startedAtMillis, 0);
  }

  /** Returns whether an entry with the same id is known to be of the same start of the endpoint. */
  boolean isSameInstance(EndpointRecord other) {
    return startedAtMillis != 0 && startedAtMillis == other.startedAtMillis;
  }
}
