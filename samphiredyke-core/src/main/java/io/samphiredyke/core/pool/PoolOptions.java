package io.samphiredyke.core.pool;

/**
 * Limits of a {@link PoolScheduler}.
 *
 * @param retryRatio repeats allowed for each first request
 * @param retryReserve repeats allowed beyond that, over all services' first windows
 * @param quotaTolerance share of a quota's rate and burst that may be used beyond them
 * @param quotaSlack units that may be used beyond that
 * @param reportGraceMillis how long a grant may be missing from its owner's report
 */
public record PoolOptions(
    double retryRatio,
    double retryReserve,
    double quotaTolerance,
    double quotaSlack,
    long reportGraceMillis) {}
