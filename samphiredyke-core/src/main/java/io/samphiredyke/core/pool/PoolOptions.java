package io.samphiredyke.core.pool;

/**
 * Retry, quota and reconciliation limits of a {@link PoolScheduler}.
 *
 * @param retryRatio retries allowed per first attempt
 * @param retryReserve retries allowed beyond that; each service starts with this many
 * @param quotaTolerance fraction by which a quota's rate and burst may be exceeded
 * @param quotaSlack units that may be used beyond that
 * @param reportGraceMillis how long a grant may be missing from its requester's reports before its
 *     slot is freed, milliseconds
 */
public record PoolOptions(
    double retryRatio,
    double retryReserve,
    double quotaTolerance,
    double quotaSlack,
    long reportGraceMillis) {}
