package io.samphiredyke.bench.capacity;

/**
 * The cost of one more of something.
 *
 * @param name what it is the cost of
 * @param value the cost
 * @param unit the unit of the cost
 * @param samples how many the cost was averaged over
 */
record UnitCost(String name, double value, String unit, long samples) {

  static final String BYTES_OF_HEAP = "B heap";
  static final String BYTES_SENT = "B sent";
  static final String MICROSECONDS = "µs CPU";
}
