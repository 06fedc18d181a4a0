package io.samphiredyke.gateway.store;

import io.samphiredyke.core.follow.TopicCursor;
import io.samphiredyke.gateway.log.DecisionLog;

/**
 * Tracks the era of the store. A higher one than before means that the store was restored from an
 * older copy: all topics are read anew and the records of this host are written again.
 */
public final class StoreEraTracker {

  private final TopicFollower configuration;
  private final TopicFollower endpoints;
  private final Runnable onRestored;
  private final DecisionLog log;
  private long era = TopicCursor.NO_ERA;

  /**
   * Creates a tracker that has seen no era.
   *
   * @param onRestored writes the records of this host again
   */
  public StoreEraTracker(
      TopicFollower configuration, TopicFollower endpoints, Runnable onRestored, DecisionLog log) {
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.onRestored = onRestored;
    this.log = log;
  }

  /** Records the era that a response of the store stated. */
  public void observe(long observed) {
    if (observed <= era) {
      return;
    }
    log.event(
        "store_era",
        "era",
        observed,
        "before",
        era,
        "config_offset",
        configuration.position().offset(),
        "endpoint_offset",
        endpoints.position().offset());
    boolean isRestored = era != TopicCursor.NO_ERA;
    era = observed;
    if (isRestored) {
      onRestored.run();
    }
    configuration.observeEra(observed);
    endpoints.observeEra(observed);
  }

  /** Returns the newest era, {@link TopicCursor#NO_ERA} if the store has stated none. */
  public long era() {
    return era;
  }
}
