package io.samphiredyke.core.broker;

/**
 * Token intervals that one requester observed on its open streams from one endpoint since its last
 * sample.
 *
 * @param streams number of streams that received tokens
 * @param meanTokenIntervalNanos mean time between tokens over these streams
 * @param highTokenIntervalNanos 95th percentile of the times between tokens
 */
public record StreamSample(int streams, long meanTokenIntervalNanos, long highTokenIntervalNanos) {

  /** Creates a sample whose percentile is not known and is taken to equal the mean. */
  public StreamSample(int streams, long meanTokenIntervalNanos) {
    this(streams, meanTokenIntervalNanos, meanTokenIntervalNanos);
  }
}
