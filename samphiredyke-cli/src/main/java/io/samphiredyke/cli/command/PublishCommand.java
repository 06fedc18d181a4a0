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

/** Puts files into force through the log. */
final class PublishCommand {

  private final CommandContext context;
  private final Publisher publisher;

  private PublishCommand(CommandContext context) throws CommandException {
    this.context = context;
    this.publisher = new Publisher(context.log(), System::nanoTime, PublishCommand::pause);
  }

  static ExitCode run(CommandContext context) throws CommandException {
    return new PublishCommand(context).run();
  }

  private ExitCode run() throws CommandException {
    InForce.readToEnd(publisher.tail());
    Configuration inForce = publisher.tail().configuration();
    ConfigurationFiles files = context.files(inForce);
    if (files.hasErrors()) {
      context.err().println("nothing was published");
      return ExitCode.FINDINGS;
    }
    List<Change> changes =
        ChangePlan.changes(inForce, files.items(), context.flags().getBoolean("prune"));
    if (changes.isEmpty()) {
      context.out().println("nothing to publish: the files are in force already");
      return waitUntilInForce(inForce.offset());
    }
    checkBase(changes, inForce);
    ConfigurationRecord record = record(changes);
    checkApplicable(record, inForce);
    for (Change change : changes) {
      context.out().println(ChangePlan.describe(change, inForce).get(0));
    }
    return publish(record);
  }

  private ConfigurationRecord record(List<Change> changes) throws CommandException {
    return ConfigurationRecord.ofChanges(
        UUID.randomUUID().toString(),
        context.required("author"),
        context.clock().millis(),
        changes);
  }

  /** Refuses to overwrite what was published after the offset that the operator looked at. */
  private void checkBase(List<Change> changes, Configuration inForce) throws CommandException {
    Long base = context.flags().getLong("base");
    if (base == null) {
      return;
    }
    for (Change change : changes) {
      VersionedItem current = inForce.items().get(change.key());
      if (current != null && current.version() > base + 1) {
        throw new CommandException(
            ExitCode.CONFLICT,
            String.format(
                "%s was changed after offset %d: %s; nothing was published",
                change.key(), base, describe(current)));
      }
    }
  }

  private void checkApplicable(ConfigurationRecord record, Configuration inForce)
      throws CommandException {
    List<Finding> findings = ConfigurationState.check(record, inForce);
    if (!findings.isEmpty()) {
      findings.forEach(context.err()::println);
      throw new CommandException(
          ExitCode.FINDINGS, "the changes can't apply together; nothing was published");
    }
  }

  private ExitCode publish(ConfigurationRecord record) throws CommandException {
    long deadline = System.nanoTime() + context.timeout().toNanos();
    PublishDecision outcome = publisher.publish(record, deadline);
    if (outcome instanceof PublishDecision.Accepted accepted) {
      context.out().printf("accepted at offset %d%n", accepted.offset());
      return waitUntilInForce(accepted.offset());
    }
    if (outcome instanceof PublishDecision.Rejected rejected) {
      return reportConflict(rejected, record);
    }
    if (outcome instanceof PublishDecision.Unknown) {
      throw new CommandException(
          ExitCode.UNKNOWN_OUTCOME,
          String.format(
              "the outcome is not known after %d s and the change may still take effect (%s);"
                  + " look for record %s in 'samphiredykectl history'",
              context.timeout().toSeconds(), publisher.lastFailure(), record.recordId()));
    }
    throw new CommandException(
        ExitCode.LOG_UNAVAILABLE,
        "nothing was published in "
            + context.timeout().toSeconds()
            + " s: "
            + publisher.lastFailure());
  }

  private ExitCode reportConflict(PublishDecision.Rejected rejected, ConfigurationRecord record) {
    context.err().printf("rejected at offset %d; nothing is in force of it%n", rejected.offset());
    Configuration current = publisher.tail().configuration();
    for (Finding finding : rejected.findings()) {
      VersionedItem item = current.items().get(finding.item());
      if (finding.code() == Finding.Code.STALE_BASE && item != null) {
        context.err().println(finding.item() + ": " + describe(item));
      } else {
        context.err().println(finding);
      }
    }
    context.err().println("record " + record.recordId() + "; look at 'diff' and publish again");
    return ExitCode.CONFLICT;
  }

  private static String describe(VersionedItem item) {
    return String.format(
        "published by %s at %s, offset %d",
        item.author(), Instant.ofEpochMilli(item.timeMillis()), item.version() - 1);
  }

  private ExitCode waitUntilInForce(long offset) throws CommandException {
    if (!context.flags().getBoolean("wait")) {
      return ExitCode.OK;
    }
    return new InForceWait(context, offset, PublishCommand::pause).run();
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
