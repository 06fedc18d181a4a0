package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.cli.files.ConfigurationFiles;
import io.samphiredyke.core.config.Change;
import io.samphiredyke.core.config.Configuration;
import java.util.List;

/** Subcommand that shows what publishing some files would change. */
final class DiffCommand {

  private DiffCommand() {}

  static ExitCode run(CommandContext context) throws CommandException {
    Configuration current = CurrentConfiguration.read(context).configuration();
    ConfigurationFiles files = context.loadFiles(current);
    if (files.hasErrors()) {
      return ExitCode.FINDINGS;
    }
    List<Change> changes =
        ChangeCalculator.changes(current, files.items(), context.flags().getBoolean("prune"));
    for (Change change : changes) {
      ChangeCalculator.describe(change, current).forEach(context.out()::println);
    }
    context.out().printf("%d changes against offset %d%n", changes.size(), current.offset());
    return ExitCode.OK;
  }
}
