package io.samphiredyke.core.serving;

/**
 * What an endpoint says of itself.
 *
 * @param id instance id, new at most starts
 * @param service service that it serves
 * @param address {@code ip:port}
 * @param dataCentre where it runs
 * @param slots requests that it runs at once, at least 1
 * @param isDraining whether it takes no new work
 * @param warmUpRemainingMillis how much longer it is slow after its start
 * @param startedAtMillis time of its start, milliseconds since the epoch; 0 if not stated
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

  /** Returns the entry without what changes by itself from one heartbeat to the next. */
  public EndpointRecord withoutWarmUp() {
    return new EndpointRecord(
        id, service, address, dataCentre, slots, isDraining, 0, startedAtMillis);
  }
}
