package io.samphiredyke.core.pool;

/**
 * Why and for how long a claim is turned away.
 *
 * @param reason the reason
 * @param retryAfterMillis when a place is expected for it
 */
public record SlotRefusal(Reason reason, long retryAfterMillis) {

  /** Reasons of refusals. */
  public enum Reason {
    /** It can't start while that still serves its caller. */
    OVERLOADED,
    /** No endpoint of the service is known to take requests. */
    NO_ENDPOINT,
    /** The customer's quota is used up. */
    OVER_QUOTA,
    /** The budget for repeats is used up. */
    NO_RETRY_BUDGET
  }
}
