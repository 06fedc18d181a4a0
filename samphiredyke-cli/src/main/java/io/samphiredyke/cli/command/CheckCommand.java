package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.cli.files.ConfigurationFiles;
import io.samphiredyke.cli.files.FileFinding;
import io.samphiredyke.core.config.Configuration;

/** Subcommand that validates configuration files and reports every finding. */
final class CheckCommand {

  private CheckCommand() {}

  static ExitCode run(CommandContext context) throws CommandException {
    boolean isLogGiven = context.flag("log") != null;
    Configuration current =
        isLogGiven ? CurrentConfiguration.read(context).configuration() : Configuration.empty();
    ConfigurationFiles files = context.loadFiles(current);
    long errors = files.findings().stream().filter(FileFinding::isError).count();
    long warnings = files.findings().size() - errors;
    context
        .out()
        .printf(
            "%d files, %d items, %d errors, %d warnings%n",
            files.files().size(), files.items().size(), errors, warnings);
    return errors == 0 ? ExitCode.OK : ExitCode.FINDINGS;
  }
}
