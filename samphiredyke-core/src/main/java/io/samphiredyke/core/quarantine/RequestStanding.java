package io.samphiredyke.core.quarantine;

/**
 * What is held against a request.
 *
 * <p>Hosts exchange standings; the one of the higher generation holds, and within a generation the
 * one with more strikes.
 *
 * @param generation how often the request was found to crash endpoints, from 1
 * @param strikes 1 when it is found, one more for each trial that ended with a crash
 * @param dueAt when the next trial may begin, nanoseconds of a monotonic clock; of no meaning if
 *     there is none
 */
public record RequestStanding(int generation, int strikes, long dueAt) {

  /** Returns whether another trial may begin at some time. */
  public boolean hasTrial() {
    return Trials.hasNext(strikes);
  }

  /** Returns whether this holds where another standing of the request is known. */
  boolean supersedes(RequestStanding other) {
    return generation == other.generation ? strikes > other.strikes : generation > other.generation;
  }
}
