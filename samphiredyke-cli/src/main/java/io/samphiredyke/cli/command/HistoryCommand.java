package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.cli.publish.LogTail;
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

/** Shows the records that the log keeps and what became of them. */
final class HistoryCommand {

  private final List<LogEntry> entries = new ArrayList<>();
  private final Map<Long, String> outcomes = new HashMap<>();

  private HistoryCommand() {}

  static ExitCode run(CommandContext context) throws CommandException {
    HistoryCommand history = new HistoryCommand();
    InForce.readToEnd(new LogTail(context.log(), history::observe));
    String item = context.text("item");
    int last = context.flags().getInt("last");
    List<String> lines = history.lines(item);
    lines.subList(Math.max(0, lines.size() - last), lines.size()).forEach(context.out()::println);
    if (lines.isEmpty()) {
      context.err().println("the log keeps no record" + (item == null ? "" : " of " + item));
    }
    return ExitCode.OK;
  }

  private void observe(LogPage page, List<ApplyResult> results) {
    entries.addAll(page.entries());
    for (ApplyResult result : results) {
      if (result instanceof ApplyResult.Applied applied) {
        outcomes.put(applied.offset(), "applied");
      } else if (result instanceof ApplyResult.Rejected rejected) {
        outcomes.put(rejected.offset(), "rejected: " + rejected.findings().get(0));
      } else if (result instanceof ApplyResult.Duplicate duplicate) {
        outcomes.put(duplicate.offset(), "repeats offset " + duplicate.first().offset());
      }
    }
  }

  private List<String> lines(@Nullable String item) {
    List<String> lines = new ArrayList<>();
    for (LogEntry entry : entries) {
      ConfigurationRecord record = entry.record();
      if (record == null) {
        lines.add(entry.offset() + "  (not a configuration record)");
      } else if (record.snapshot() == null && concerns(record, item)) {
        lines.add(line(entry, record));
      }
    }
    return lines;
  }

  private static boolean concerns(ConfigurationRecord record, @Nullable String item) {
    return item == null
        || record.recordId().equals(item)
        || record.changes().stream().anyMatch(change -> change.name().equals(item));
  }

  private String line(LogEntry entry, ConfigurationRecord record) {
    List<String> changes = record.changes().stream().map(HistoryCommand::describe).toList();
    return String.format(
        "%d  %s  %s  %s  %s  [%s]",
        entry.offset(),
        Instant.ofEpochMilli(entry.timeMillis()),
        record.author(),
        outcomes.getOrDefault(entry.offset(), "covered by a snapshot"),
        String.join(", ", changes),
        record.recordId());
  }

  private static String describe(Change change) {
    return (change.value() == null ? "-" : "") + change.key();
  }
}
