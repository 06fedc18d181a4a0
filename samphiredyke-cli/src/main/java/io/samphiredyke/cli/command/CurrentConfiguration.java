package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.cli.publish.LogReader;
import io.samphiredyke.cli.publish.LogUnavailableException;

/** Reads the current configuration from the log. */
final class CurrentConfiguration {

  private CurrentConfiguration() {}

  static LogReader read(CommandContext context) throws CommandException {
    LogReader reader = new LogReader(context.configurationLog(), (page, results) -> {});
    readToEnd(reader);
    return reader;
  }

  static void readToEnd(LogReader reader) throws CommandException {
    try {
      reader.readToEnd();
    } catch (LogUnavailableException e) {
      throw new CommandException(
          ExitCode.LOG_UNAVAILABLE, "the current configuration can't be read: " + e.getMessage());
    }
  }
}
