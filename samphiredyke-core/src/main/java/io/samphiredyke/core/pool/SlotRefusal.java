package io.samphiredyke.core.pool;

/**
 * Refusal of a slot request.
 *
 * @param reason why the request was refused
 * @param retryAfterMillis time after which a slot is expected to be free, milliseconds
 */
public record SlotRefusal(Reason reason, long retryAfterMillis) {

  /** Why a slot request was refused. */
  public enum Reason {
    /** The request is not expected to start before its start deadline. */
    OVERLOADED,
    /** No endpoint of the service, other than those excluded, is known to accept requests. */
    NO_ENDPOINT,
    /** The customer's quota is exhausted. */
    OVER_QUOTA,
    /** The retry budget of the service is exhausted. */
    NO_RETRY_BUDGET,
    /** All endpoints of the service want no requests from the host for a time. */
    ENDPOINTS_PAUSED,
    /** A part of the prompt is quarantined, because it crashes endpoints. */
    PROMPT_QUARANTINED,
    /** The request is quarantined, because it crashes endpoints. */
    REQUEST_QUARANTINED,
    /** As {@link #OVERLOADED}, and the customer has more work than its share of the slots. */
    BEYOND_SHARE
  }
}
