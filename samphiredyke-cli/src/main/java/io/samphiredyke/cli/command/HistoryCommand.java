package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.cli.publish.LogReader;
import io.samphiredyke.core.config.ApplyResult;
import io.samphiredyke.core.config.Change;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.LogEntry;
import io.samphiredyke.core.config.LogPage;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Subcommand that shows the records of the log with their outcomes. */
final class HistoryCommand {

  private final List<LogEntry> entries = new ArrayList<>();
  private final Map<Long, String> resultsByOffset = new HashMap<>();

  private HistoryCommand() {}

  static ExitCode run(CommandContext context) throws CommandException {
    HistoryCommand history = new HistoryCommand();
    CurrentConfiguration.readToEnd(new LogReader(context.configurationLog(), history::addPage));
    String item = context.flag("item");
    int last = context.flags().getInt("last");
    List<String> lines = history.formatEntries(item);
    lines.subList(Math.max(0, lines.size() - last), lines.size()).forEach(context.out()::println);
    if (lines.isEmpty()) {
      context.err().println("the log contains no record" + (item == null ? "" : " of " + item));
    }
    return ExitCode.OK;
  }

  private void addPage(LogPage page, List<ApplyResult> results) {
    entries.addAll(page.entries());
    for (ApplyResult result : results) {
      if (result instanceof ApplyResult.Applied applied) {
        resultsByOffset.put(applied.offset(), "applied");
      } else if (result instanceof ApplyResult.Rejected rejected) {
        resultsByOffset.put(rejected.offset(), "rejected: " + rejected.findings().get(0));
      } else if (result instanceof ApplyResult.Duplicate duplicate) {
        resultsByOffset.put(duplicate.offset(), "repeats offset " + duplicate.first().offset());
      }
    }
  }

  private List<String> formatEntries(@Nullable String item) {
    List<String> lines = new ArrayList<>();
    for (LogEntry entry : entries) {
      ConfigurationRecord record = entry.record();
      if (record == null) {
        lines.add(entry.offset() + "  (not a configuration record)");
      } else if (record.snapshot() == null && matches(record, item)) {
        lines.add(formatEntry(entry, record));
      }
    }
    return lines;
  }

  private static boolean matches(ConfigurationRecord record, @Nullable String item) {
    return item == null
        || record.recordId().equals(item)
        || record.changes().stream().anyMatch(change -> change.name().equals(item));
  }

  private String formatEntry(LogEntry entry, ConfigurationRecord record) {
    List<String> changes = record.changes().stream().map(HistoryCommand::formatChange).toList();
    return String.format(
        "%d  %s  %s  %s  %s  [%s]",
        entry.offset(),
        Instant.ofEpochMilli(entry.timeMillis()),
        record.author(),
        resultsByOffset.getOrDefault(entry.offset(), "covered by a snapshot"),
        String.join(", ", changes),
        record.recordId());
  }

  private static String formatChange(Change change) {
    return (change.value() == null ? "-" : "") + change.key();
  }
}
