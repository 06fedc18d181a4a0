package io.samphiredyke.core.pool;

/**
 * Retry, quota and reconciliation limits of a {@link PoolScheduler}.
 *
 * @param retryRatio retries allowed per first attempt
 * @param retryReserve retries allowed beyond that; each service starts with this many
 * @param quotaTolerance fraction by which a quota's rate and burst may be exceeded
 * @param quotaSlack units that may be used beyond that
 * @param reportGraceMillis time after a grant for which its requester's reports may not list it
 *     yet, milliseconds; the slot of an older grant that a report does not list is freed
 */
public record PoolOptions(
    double retryRatio,
    double retryReserve,
    double quotaTolerance,
    double quotaSlack,
    long reportGraceMillis) {}
