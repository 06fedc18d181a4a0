package io.samphiredyke.core.membership.internal;

/**
 * Local health score of Lifeguard, which rates the reliability of this process's own probes; 0 is
 * healthy.
 *
 * <p>A process that is slow or poorly connected waits longer before it suspects other members.
 */
public final class LocalHealth {

  private final int max;
  private int score;

  /**
   * Creates the score of a healthy process.
   *
   * @param max maximum score
   */
  public LocalHealth(int max) {
    this.max = max;
  }

  /** Adds points, which may be negative, to the score. */
  public void add(int points) {
    score = Math.max(0, Math.min(max, score + points));
  }

  /** Returns the score, from 0 to the maximum. */
  public int score() {
    return score;
  }

  /** Scales a time by the score. */
  public long scale(long nanos) {
    return nanos * (score + 1);
  }
}
