package io.samphiredyke.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.net.codec.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Subcommand that shows the log lines of a request together with related events of the hosts. */
final class TraceCommand {

  /** Events that carry no request id but may have affected the request. */
  private static final List<String> CONTEXT_EVENTS =
      List.of(
          "config",
          "endpoint_up",
          "endpoint_down",
          "scheduler_silent",
          "store_lost",
          "store_back",
          "readiness",
          "woke_up",
          "start",
          "stop_begun",
          "stop");

  /** How long before the first line of the request context events are shown, in milliseconds. */
  private static final long CONTEXT_BEFORE_MILLIS = 2_000;

  private record LogLine(long millis, String file, JsonNode fields, boolean belongsToRequest) {}

  private TraceCommand() {}

  static ExitCode run(CommandContext context) throws CommandException {
    String id = context.requiredFlag("request_id");
    List<String> files = context.flags().getList("log");
    List<LogLine> lines = new ArrayList<>();
    int malformed = 0;
    for (String file : files) {
      malformed += read(Path.of(file), id, lines);
    }
    lines.sort(Comparator.comparingLong(LogLine::millis));
    long first =
        lines.stream()
            .filter(LogLine::belongsToRequest)
            .mapToLong(LogLine::millis)
            .min()
            .orElse(-1);
    if (malformed > 0) {
      context.err().println(malformed + " lines are not JSON and were skipped");
    }
    if (first < 0) {
      context.err().println("no log line of request " + id);
      return ExitCode.NOT_FOUND;
    }
    long last =
        lines.stream()
            .filter(LogLine::belongsToRequest)
            .mapToLong(LogLine::millis)
            .max()
            .orElse(first);
    for (LogLine line : lines) {
      boolean isInWindow = line.millis() >= first - CONTEXT_BEFORE_MILLIS && line.millis() <= last;
      if (line.belongsToRequest() || isInWindow) {
        print(context, line);
      }
    }
    return ExitCode.OK;
  }

  private static int read(Path file, String id, List<LogLine> lines) throws CommandException {
    int malformed = 0;
    try {
      for (String json : Files.readAllLines(file, StandardCharsets.UTF_8)) {
        if (json.isBlank()) {
          continue;
        }
        try {
          JsonNode fields = Json.read(json.getBytes(StandardCharsets.UTF_8), JsonNode.class);
          boolean belongsToRequest = fields.path("id").asText("").equals(id);
          if (belongsToRequest || CONTEXT_EVENTS.contains(fields.path("event").asText(""))) {
            String fileName = String.valueOf(file.getFileName());
            lines.add(new LogLine(fields.path("ts").asLong(), fileName, fields, belongsToRequest));
          }
        } catch (IOException e) {
          malformed++;
        }
      }
    } catch (IOException e) {
      throw new CommandException(ExitCode.USAGE, "can't read " + file + ": " + e.getMessage());
    }
    return malformed;
  }

  private static void print(CommandContext context, LogLine line) {
    StringBuilder fields = new StringBuilder();
    line.fields()
        .fields()
        .forEachRemaining(
            field -> {
              boolean isPrintedSeparately = List.of("ts", "event", "id").contains(field.getKey());
              if (!isPrintedSeparately) {
                fields.append(' ').append(field.getKey()).append('=');
                fields.append(field.getValue().asText());
              }
            });
    context
        .out()
        .printf(
            "%s %s %s %s%s%n",
            line.belongsToRequest() ? "*" : " ",
            Instant.ofEpochMilli(line.millis()),
            line.file(),
            line.fields().path("event").asText(),
            fields);
  }
}
