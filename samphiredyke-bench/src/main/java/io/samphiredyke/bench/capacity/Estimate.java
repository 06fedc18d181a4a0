package io.samphiredyke.bench.capacity;

/**
 * What a host spends at a size.
 *
 * @param role the role that spends it
 * @param what what it is spent on
 * @param formula how it follows from the slopes
 * @param value the amount
 * @param unit the unit of the amount
 */
record Estimate(String role, String what, String formula, double value, String unit) {}
