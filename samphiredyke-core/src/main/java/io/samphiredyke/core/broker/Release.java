package io.samphiredyke.core.broker;

/**
 * The end of a granted claim as its entry observed it.
 *
 * @param key the claim that ended
 * @param outcome how it ended
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

  /** How a granted claim ended. */
  public enum Outcome {
    /** The whole answer was received. */
    COMPLETED,
    /** The entry did not dispatch the request. */
    UNUSED,
    /** The caller left and the stream was cancelled. */
    CANCELLED,
    /** The endpoint refused the request because it is overloaded. */
    OVERLOADED,
    /** The endpoint failed. */
    FAILED
  }

  /** Returns the release of a grant that was not used. */
  public static Release unused(SlotRequestKey key) {
    return new Release(key, Outcome.UNUSED, 0, 0, 0);
  }
}
