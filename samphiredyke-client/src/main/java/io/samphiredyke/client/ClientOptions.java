package io.samphiredyke.client;

import java.time.Duration;

/**
 * Time limits and retries of a client.
 *
 * @param connectTimeout how long a connection may take to be established
 * @param addressTimeout how long a seed may take to answer with addresses
 * @param inactivityTimeout how long a connection may stay silent before the request is resumed on
 *     another one
 * @param unknownOutcomeTimeout how long a request is asked for again after the first answer that
 *     its outcome is unknown; a host that was out of reach may come back and decide it
 * @param backoff the pauses between attempts
 * @param retryRatio new ids that a request earns for later refused ones, as a part of one
 */
public record ClientOptions(
    Duration connectTimeout,
    Duration addressTimeout,
    Duration inactivityTimeout,
    Duration unknownOutcomeTimeout,
    Backoff backoff,
    double retryRatio) {

  private static final double DEFAULT_RETRY_RATIO = 0.2;

  /** Returns the usual limits. */
  public static ClientOptions defaults() {
    return new ClientOptions(
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10),
        Backoff.defaults(),
        DEFAULT_RETRY_RATIO);
  }

  /** Returns the same limits with another silence timeout. */
  public ClientOptions withInactivityTimeout(Duration other) {
    return new ClientOptions(
        connectTimeout, addressTimeout, other, unknownOutcomeTimeout, backoff, retryRatio);
  }

  /** Returns the same limits with another patience with unknown outcomes. */
  public ClientOptions withUnknownOutcomeTimeout(Duration other) {
    return new ClientOptions(
        connectTimeout, addressTimeout, inactivityTimeout, other, backoff, retryRatio);
  }
}
