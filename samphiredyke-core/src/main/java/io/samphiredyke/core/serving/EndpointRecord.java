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
 * @param version version of its software; streams of different versions don't fit together
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
    long heartbeat,
    String version) {

  /** Creates an entry of an endpoint whose service has a single software version. */
  public EndpointRecord(
      String id,
      String service,
      String address,
      String dataCentre,
      int slots,
      boolean isDraining,
      long warmUpRemainingMillis,
      long startedAtMillis,
      long heartbeat) {
    this(
        id,
        service,
        address,
        dataCentre,
        slots,
        isDraining,
        warmUpRemainingMillis,
        startedAtMillis,
        heartbeat,
        "");
  }

  /** Returns the entry without the fields that change with each heartbeat. */
  public EndpointRecord withoutHeartbeat() {
    return new EndpointRecord(
        id, service, address, dataCentre, slots, isDraining, 0, startedAtMillis, 0, version);
  }

  /**
   * Returns whether a later entry with the same id is of the same start of the endpoint. Without
   * start times, a heartbeat number that has not fallen is taken as a sign of it.
   */
  boolean isSameInstance(EndpointRecord later) {
    if (startedAtMillis != 0 || later.startedAtMillis != 0) {
      return startedAtMillis == later.startedAtMillis;
    }
    return heartbeat > 0 && later.heartbeat >= heartbeat;
  }

  /** Returns the entry of the same instance after it has begun to drain. */
  EndpointRecord draining() {
    return new EndpointRecord(
        id,
        service,
        address,
        dataCentre,
        slots,
        true,
        warmUpRemainingMillis,
        startedAtMillis,
        heartbeat,
        version);
  }
}
