package io.samphiredyke.bench.ownership;

import java.util.random.RandomGenerator;

/** Stage of a request at which a fault is injected. */
enum RequestStage {
  /** Waiting for a grant; no intent has been sent. */
  QUEUED,
  /** The intent is in flight and not yet recorded. */
  INTENT_SENT,
  /** The intent is recorded and its acknowledgement is in flight. */
  INTENT_RECORDED,
  /** Dispatched, but not yet received by the endpoint. */
  DISPATCHED,
  /** Being executed by the endpoint. */
  RUNNING;

  private static final double QUEUE_MEAN_MILLIS = 200;
  private static final double ONE_WAY_MILLIS = 0.5;
  private static final double RUN_MEAN_MILLIS = 3_000;

  /** Returns a random stage, weighted by the typical duration of each stage. */
  static RequestStage random(RandomGenerator random) {
    double queueMillis = random.nextExponential() * QUEUE_MEAN_MILLIS;
    double runMillis = random.nextExponential() * RUN_MEAN_MILLIS;
    double faultMillis =
        random.nextDouble() * (queueMillis + 3 * ONE_WAY_MILLIS + runMillis) - queueMillis;
    if (faultMillis < 0) {
      return QUEUED;
    }
    int stage = (int) Math.min(3, faultMillis / ONE_WAY_MILLIS);
    return values()[stage + 1];
  }
}
