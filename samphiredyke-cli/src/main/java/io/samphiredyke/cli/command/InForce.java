package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.cli.publish.LogTail;
import io.samphiredyke.cli.publish.LogUnavailableException;

/** Reads the configuration in force from the log. */
final class InForce {

  private InForce() {}

  static LogTail read(CommandContext context) throws CommandException {
    LogTail tail = new LogTail(context.log(), (page, results) -> {});
    readToEnd(tail);
    return tail;
  }

  static void readToEnd(LogTail tail) throws CommandException {
    try {
      tail.readToEnd();
    } catch (LogUnavailableException e) {
      throw new CommandException(
          ExitCode.LOG_UNAVAILABLE, "the configuration in force can't be read: " + e.getMessage());
    }
  }
}
