package io.samphiredyke.gateway;

import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.platform.HostSettings;

/** Derives the options of the scheduler from the settings of the host. */
final class SchedulerOptions {

  /** Used share of the retry budget; the rest is reserved for hosts that schedule on their own. */
  private static final double RETRY_BUDGET_SHARE = 0.6;

  /**
   * Used share of the tolerated quota excess; the rest is reserved for hosts that schedule on their
   * own.
   */
  private static final double QUOTA_TOLERANCE_SHARE = 0.6;

  /** How long a grant may be missing from the reports of its requester. */
  private static final long REPORT_GRACE_MILLIS = 300;

  private SchedulerOptions() {}

  static PoolOptions of(HostSettings settings) {
    return new PoolOptions(
        settings.retryRatio() * RETRY_BUDGET_SHARE,
        settings.retryReserve() * RETRY_BUDGET_SHARE,
        settings.quotaTolerance() * QUOTA_TOLERANCE_SHARE,
        settings.quotaSlack() * QUOTA_TOLERANCE_SHARE,
        REPORT_GRACE_MILLIS);
  }
}
