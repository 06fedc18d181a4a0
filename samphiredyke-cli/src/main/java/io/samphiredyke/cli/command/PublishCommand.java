package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.cli.files.ConfigurationFiles;
import io.samphiredyke.cli.publish.Publisher;
import io.samphiredyke.core.config.Change;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.ConfigurationState;
import io.samphiredyke.core.config.Finding;
import io.samphiredyke.core.config.PublishDecision;
import io.samphiredyke.core.config.VersionedItem;
import java.time.Instant;
import java.util.List;
import java.util.UUID;

/** Subcommand that publishes configuration files through the log. */
final class PublishCommand {

  private final CommandContext context;
  private final Publisher publisher;

  private PublishCommand(CommandContext context) throws CommandException {
    this.context = context;
    this.publisher =
        new Publisher(context.configurationLog(), System::nanoTime, PublishCommand::sleepMillis);
  }

  static ExitCode run(CommandContext context) throws CommandException {
    return new PublishCommand(context).run();
  }

  private ExitCode run() throws CommandException {
    CurrentConfiguration.readToEnd(publisher.reader());
    Configuration current = publisher.reader().configuration();
    ConfigurationFiles files = context.loadFiles(current);
    if (files.hasErrors()) {
      context.err().println("nothing was published");
      return ExitCode.FINDINGS;
    }
    List<Change> changes =
        ChangeCalculator.changes(current, files.items(), context.flags().getBoolean("prune"));
    if (changes.isEmpty()) {
      context.out().println("nothing to publish: the files are in force already");
      return waitForRollout(current.offset());
    }
    checkBaseOffset(changes, current);
    ConfigurationRecord record = newRecord(changes);
    checkApplicable(record, current);
    for (Change change : changes) {
      context.out().println(ChangeCalculator.describe(change, current).get(0));
    }
    return publish(record);
  }

  private ConfigurationRecord newRecord(List<Change> changes) throws CommandException {
    return ConfigurationRecord.ofChanges(
        UUID.randomUUID().toString(),
        context.requiredFlag("author"),
        context.clock().millis(),
        changes);
  }

  /** Fails if an item to change was published after the offset that the operator reviewed. */
  private void checkBaseOffset(List<Change> changes, Configuration current)
      throws CommandException {
    Long baseOffset = context.flags().getLong("base");
    if (baseOffset == null) {
      return;
    }
    for (Change change : changes) {
      VersionedItem published = current.items().get(change.key());
      if (published != null && published.version() > baseOffset + 1) {
        throw new CommandException(
            ExitCode.CONFLICT,
            String.format(
                "%s was changed after offset %d: %s; nothing was published",
                change.key(), baseOffset, describeVersion(published)));
      }
    }
  }

  private void checkApplicable(ConfigurationRecord record, Configuration current)
      throws CommandException {
    List<Finding> findings = ConfigurationState.check(record, current);
    if (!findings.isEmpty()) {
      findings.forEach(context.err()::println);
      throw new CommandException(
          ExitCode.FINDINGS, "the changes are invalid together; nothing was published");
    }
  }

  private ExitCode publish(ConfigurationRecord record) throws CommandException {
    long deadline = System.nanoTime() + context.timeout().toNanos();
    PublishDecision decision = publisher.publish(record, deadline);
    if (decision instanceof PublishDecision.Accepted accepted) {
      context.out().printf("accepted at offset %d%n", accepted.offset());
      return waitForRollout(accepted.offset());
    }
    if (decision instanceof PublishDecision.Rejected rejected) {
      return reportConflict(rejected, record);
    }
    if (decision instanceof PublishDecision.Unknown) {
      throw new CommandException(
          ExitCode.UNKNOWN_OUTCOME,
          String.format(
              "the outcome is unknown after %d s and the change may still take effect (%s);"
                  + " look for record %s in 'samphiredykectl history'",
              context.timeout().toSeconds(), publisher.lastFailure(), record.recordId()));
    }
    throw new CommandException(
        ExitCode.LOG_UNAVAILABLE,
        "nothing was published within "
            + context.timeout().toSeconds()
            + " s: "
            + publisher.lastFailure());
  }

  private ExitCode reportConflict(PublishDecision.Rejected rejected, ConfigurationRecord record) {
    context
        .err()
        .printf("rejected at offset %d; none of the changes was applied%n", rejected.offset());
    Configuration current = publisher.reader().configuration();
    for (Finding finding : rejected.findings()) {
      VersionedItem item = current.items().get(finding.item());
      if (finding.code() == Finding.Code.STALE_BASE && item != null) {
        context.err().println(finding.item() + ": " + describeVersion(item));
      } else {
        context.err().println(finding);
      }
    }
    context
        .err()
        .println(
            "record "
                + record.recordId()
                + ": check with 'samphiredykectl diff' and publish again");
    return ExitCode.CONFLICT;
  }

  private static String describeVersion(VersionedItem item) {
    return String.format(
        "published by %s at %s, offset %d",
        item.author(), Instant.ofEpochMilli(item.timeMillis()), item.version() - 1);
  }

  private ExitCode waitForRollout(long offset) throws CommandException {
    if (!context.flags().getBoolean("wait")) {
      return ExitCode.OK;
    }
    return new RolloutWaiter(context, offset, PublishCommand::sleepMillis).run();
  }

  private static void sleepMillis(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
