package io.samphiredyke.core.pool;

/**
 * Limits of a {@link PoolScheduler}.
 *
 * @param repeatRatio repeats allowed for each first request
 * @param repeatReserve repeats allowed beyond that, over all services' first windows
 * @param reportGraceMillis how long a grant may be missing from its owner's report
 */
public record PoolOptions(double repeatRatio, double repeatReserve, long reportGraceMillis) {}
