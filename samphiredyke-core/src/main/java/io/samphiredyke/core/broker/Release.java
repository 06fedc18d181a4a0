package io.samphiredyke.core.broker;

/**
 * Release of a slot, with what the requester observed of the request.
 *
 * @param key the slot request that was granted
 * @param outcome how the request ended
 * @param firstTokenNanos time from dispatch to the first token, 0 if there was none
 * @param meanTokenIntervalNanos mean time between tokens, 0 if there were fewer than two
 * @param outputTokens tokens received
 */
public record Release(
    SlotRequestKey key,
    Outcome outcome,
    long firstTokenNanos,
    long meanTokenIntervalNanos,
    int outputTokens) {

  /** How a granted request ended. */
  public enum Outcome {
    /** The complete response was received. */
    COMPLETED,
    /** The requester did not dispatch the request. */
    UNUSED,
    /** The caller disconnected and the stream was cancelled. */
    CANCELLED,
    /** The endpoint rejected the request because it is overloaded. */
    OVERLOADED,
    /** The endpoint failed while it served the request. */
    FAILED
  }

  /** Returns the release of a slot that was not used. */
  public static Release unused(SlotRequestKey key) {
    return new Release(key, Outcome.UNUSED, 0, 0, 0);
  }
}
