package io.samphiredyke.standins.engine;

/**
 * Counters of an engine, for one request id or in total.
 *
 * @param executions requests accepted for execution
 * @param finished executions that generated all tokens
 * @param cancelled executions that ended earlier
 * @param prefilledTokens prompt tokens prefilled, without those found in the cache
 * @param cachedTokens prompt tokens found in the cache
 * @param wastedPrefillTokens prompt tokens prefilled for executions that were cancelled, or whose
 *     finished completion was discarded before it was fully read
 * @param decodedTokens tokens generated
 */
public record RequestCounts(
    long executions,
    long finished,
    long cancelled,
    long prefilledTokens,
    long cachedTokens,
    long wastedPrefillTokens,
    long decodedTokens) {

  /** All counts zero. */
  public static final RequestCounts ZERO = new RequestCounts(0, 0, 0, 0, 0, 0, 0);

  static final RequestCounts EXECUTION = new RequestCounts(1, 0, 0, 0, 0, 0, 0);
  static final RequestCounts FINISH = new RequestCounts(0, 1, 0, 0, 0, 0, 0);

  static RequestCounts cancel(long wasted) {
    return new RequestCounts(0, 0, 1, 0, 0, wasted, 0);
  }

  static RequestCounts prefilled(long tokens) {
    return new RequestCounts(0, 0, 0, tokens, 0, 0, 0);
  }

  static RequestCounts cached(long tokens) {
    return new RequestCounts(0, 0, 0, 0, tokens, 0, 0);
  }

  static RequestCounts wasted(long tokens) {
    return new RequestCounts(0, 0, 0, 0, 0, tokens, 0);
  }

  static RequestCounts decoded(long tokens) {
    return new RequestCounts(0, 0, 0, 0, 0, 0, tokens);
  }

  /** Returns the sum of two counts. */
  public RequestCounts plus(RequestCounts other) {
    return new RequestCounts(
        executions + other.executions,
        finished + other.finished,
        cancelled + other.cancelled,
        prefilledTokens + other.prefilledTokens,
        cachedTokens + other.cachedTokens,
        wastedPrefillTokens + other.wastedPrefillTokens,
        decodedTokens + other.decodedTokens);
  }
}
