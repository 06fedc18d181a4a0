package io.samphiredyke.core.pool;

import java.util.Set;
import java.util.TreeMap;

/** Mean time that the requests of each rank hold a slot, over about the last hundred of them. */
final class RankStatistics {

  private static final double SMOOTHING = 0.01;

  private final TreeMap<Integer, Double> meanHoldMillis = new TreeMap<>();

  void add(int rank, double holdMillis) {
    double mean = meanHoldMillis.getOrDefault(rank, holdMillis);
    meanHoldMillis.put(rank, mean + SMOOTHING * (holdMillis - mean));
  }

  /** Returns the mean of a rank that has had a request, milliseconds. */
  double meanHoldMillis(int rank) {
    return meanHoldMillis.getOrDefault(rank, 0.0);
  }

  /** Returns the fraction of the ranks that are a rank itself or below it; 1 for the highest. */
  double fractionNotAbove(int rank) {
    return (double) meanHoldMillis.tailMap(rank, true).size() / meanHoldMillis.size();
  }

  /** Returns the ranks below a rank that have had a request. */
  Set<Integer> lowerThan(int rank) {
    return meanHoldMillis.tailMap(rank, false).keySet();
  }
}
