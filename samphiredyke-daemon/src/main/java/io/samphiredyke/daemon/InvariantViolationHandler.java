package io.samphiredyke.daemon;

import com.google.common.flogger.FluentLogger;
import io.samphiredyke.core.invariant.Invariant;
import io.samphiredyke.core.invariant.InvariantHandler;
import io.samphiredyke.daemon.admin.Metrics;

/**
 * Counts and logs violations of invariants, and aborts the current action with an exception if the
 * violation is fatal, because continuing would break a guarantee.
 */
final class InvariantViolationHandler implements InvariantHandler {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Metrics metrics;

  InvariantViolationHandler(Metrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public void violated(Invariant invariant, String detail) {
    metrics.count("invariant-violated-" + invariant.name());
    logger.atSevere().log("invariant violated: name=%s detail=%s", invariant.name(), detail);
    if (invariant.severity() == Invariant.Severity.FATAL) {
      throw new IllegalStateException("invariant " + invariant.name() + " violated: " + detail);
    }
  }
}
