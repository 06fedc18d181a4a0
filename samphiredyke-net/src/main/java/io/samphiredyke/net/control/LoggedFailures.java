package io.samphiredyke.net.control;

import com.google.common.flogger.FluentLogger;

/**
 * Logs failures with Flogger. It is a class of its own because the gateway, which reports failures
 * in its own log, is packaged without Flogger.
 */
final class LoggedFailures {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private LoggedFailures() {}

  static void log(Throwable failure) {
    logger.atSevere().withCause(failure).log("an action of the control loop failed");
  }
}
