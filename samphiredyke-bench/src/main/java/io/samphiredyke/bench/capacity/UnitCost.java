package io.samphiredyke.bench.capacity;

/**
 * Measured cost of one additional unit, such as a member or a request.
 *
 * @param name name of the cost
 * @param value cost of one unit
 * @param unit unit of the cost
 * @param samples number of units over which the cost was averaged
 */
record UnitCost(String name, double value, String unit, long samples) {

  static final String BYTES_OF_HEAP = "B heap";
  static final String BYTES_SENT = "B sent";
  static final String MICROSECONDS = "µs CPU";
}
