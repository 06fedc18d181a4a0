package io.samphiredyke.client;

import java.time.Duration;

/**
 * Timeouts and retry settings of a client.
 *
 * @param connectTimeout the timeout for establishing a connection
 * @param addressTimeout the timeout for an address lookup at a seed
 * @param inactivityTimeout how long a connection may receive no data before the request is resumed
 *     on another connection
 * @param unknownOutcomeTimeout how long a request is retried after the first response that its
 *     outcome is unknown, because a host that was unreachable may return and know the outcome
 * @param backoff the delays between attempts
 * @param retryRatio the fraction of a retry with a new id that each request adds to the retry
 *     budget
 */
public record ClientOptions(
    Duration connectTimeout,
    Duration addressTimeout,
    Duration inactivityTimeout,
    Duration unknownOutcomeTimeout,
    Backoff backoff,
    double retryRatio) {

  private static final double DEFAULT_RETRY_RATIO = 0.2;

  /** Returns the default options. */
  public static ClientOptions defaults() {
    return new ClientOptions(
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10),
        Backoff.defaults(),
        DEFAULT_RETRY_RATIO);
  }

  /** Returns a copy with another inactivity timeout. */
  public ClientOptions withInactivityTimeout(Duration other) {
    return new ClientOptions(
        connectTimeout, addressTimeout, other, unknownOutcomeTimeout, backoff, retryRatio);
  }

  /** Returns a copy with another timeout for unknown outcomes. */
  public ClientOptions withUnknownOutcomeTimeout(Duration other) {
    return new ClientOptions(
        connectTimeout, addressTimeout, inactivityTimeout, other, backoff, retryRatio);
  }
}
