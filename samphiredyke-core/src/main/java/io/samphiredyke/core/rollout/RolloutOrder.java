package io.samphiredyke.core.rollout;

/**
 * Order of the operator to move the traffic of a service to another software version.
 *
 * @param service name of the service
 * @param version version that gets the traffic
 * @param durationMillis time within which the roll-out has to succeed or to be rolled back,
 *     milliseconds
 * @param offset position of the order in the operator's topic, which distinguishes it from earlier
 *     orders for the service
 */
public record RolloutOrder(String service, String version, long durationMillis, long offset) {

  /** Checks the duration. */
  public RolloutOrder {
    if (durationMillis <= 0) {
      throw new IllegalArgumentException("the duration must be positive: " + durationMillis);
    }
  }

  /** Returns whether an order asks for the same, at whatever position. */
  public boolean isAlike(RolloutOrder other) {
    return service.equals(other.service)
        && version.equals(other.version)
        && durationMillis == other.durationMillis;
  }

  /** Returns whether another order is this one, written again after the store was restored. */
  public boolean isReturnedAs(RolloutOrder other) {
    return isAlike(other) && other.offset < offset;
  }
}
