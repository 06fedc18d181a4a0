package io.samphiredyke.bench.capacity;

/**
 * Estimated resource use of a host at a deployment size.
 *
 * @param role role of the host that uses the resource
 * @param what purpose for which the resource is used
 * @param formula formula that derives the value from the unit costs
 * @param value estimated amount
 * @param unit unit of the amount
 */
record Estimate(String role, String what, String formula, double value, String unit) {}
