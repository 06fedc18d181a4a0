package io.samphiredyke.core.membership.internal;

/**
 * Score of how far this process can trust its own probes; 0 is healthy (Lifeguard).
 *
 * <p>A process that is slow or badly connected waits longer before it suspects others.
 */
public final class LocalHealth {

  private final int max;
  private int score;

  /**
   * Starts healthy.
   *
   * @param max largest score
   */
  public LocalHealth(int max) {
    this.max = max;
  }

  /** Raises or lowers the score. */
  public void add(int points) {
    score = Math.max(0, Math.min(max, score + points));
  }

  /** The score, 0 to the maximum. */
  public int score() {
    return score;
  }

  /** Stretches a time by the score. */
  public long scale(long nanos) {
    return nanos * (score + 1);
  }
}
