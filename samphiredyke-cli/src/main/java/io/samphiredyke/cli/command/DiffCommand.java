package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.cli.files.ConfigurationFiles;
import io.samphiredyke.core.config.Change;
import io.samphiredyke.core.config.Configuration;
import java.util.List;

/** Shows what publishing some files would change. */
final class DiffCommand {

  private DiffCommand() {}

  static ExitCode run(CommandContext context) throws CommandException {
    Configuration inForce = InForce.read(context).configuration();
    ConfigurationFiles files = context.files(inForce);
    if (files.hasErrors()) {
      return ExitCode.FINDINGS;
    }
    List<Change> changes =
        ChangePlan.changes(inForce, files.items(), context.flags().getBoolean("prune"));
    for (Change change : changes) {
      ChangePlan.describe(change, inForce).forEach(context.out()::println);
    }
    context.out().printf("%d changes against offset %d%n", changes.size(), inForce.offset());
    return ExitCode.OK;
  }
}
