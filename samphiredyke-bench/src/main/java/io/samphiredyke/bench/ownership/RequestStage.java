package io.samphiredyke.bench.ownership;

import java.util.random.RandomGenerator;

/** How far a request has got when a fault strikes. */
enum RequestStage {
  /** Waits for a grant; nothing has been sent. */
  QUEUED,
  /** The intent is on its way and not recorded. */
  INTENT_SENT,
  /** The intent is recorded and its acknowledgement is on the way. */
  INTENT_RECORDED,
  /** Dispatched, not yet at the endpoint. */
  DISPATCHED,
  /** The endpoint works on it. */
  RUNNING;

  private static final double QUEUE_MEAN_MILLIS = 200;
  private static final double ONE_WAY_MILLIS = 0.5;
  private static final double RUN_MEAN_MILLIS = 3_000;

  /** Draws the moment at which a fault strikes, by the lengths of the parts of a life. */
  static RequestStage random(RandomGenerator random) {
    double queue = random.nextExponential() * QUEUE_MEAN_MILLIS;
    double run = random.nextExponential() * RUN_MEAN_MILLIS;
    double at = random.nextDouble() * (queue + 3 * ONE_WAY_MILLIS + run) - queue;
    if (at < 0) {
      return QUEUED;
    }
    int part = (int) Math.min(3, at / ONE_WAY_MILLIS);
    return values()[part + 1];
  }
}
