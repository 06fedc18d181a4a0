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

/** Shows what collected logs of hosts say of one request, and what the hosts noted around it. */
final class TraceCommand {

  /** Events without a request id that may have touched the request. */
  private static final List<String> AROUND =
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

  /** How long before its first line such events are shown, milliseconds. */
  private static final long BEFORE_MILLIS = 2_000;

  private record Line(long millis, String file, JsonNode fields, boolean isRequests) {}

  private TraceCommand() {}

  static ExitCode run(CommandContext context) throws CommandException {
    String id = context.required("request_id");
    List<String> files = context.flags().getList("log");
    List<Line> lines = new ArrayList<>();
    int malformed = 0;
    for (String file : files) {
      malformed += read(Path.of(file), id, lines);
    }
    lines.sort(Comparator.comparingLong(Line::millis));
    long first = lines.stream().filter(Line::isRequests).mapToLong(Line::millis).min().orElse(-1);
    if (malformed > 0) {
      context.err().println(malformed + " lines are no JSON and were passed over");
    }
    if (first < 0) {
      context.err().println("no line of request " + id);
      return ExitCode.NOT_FOUND;
    }
    long last = lines.stream().filter(Line::isRequests).mapToLong(Line::millis).max().orElse(first);
    for (Line line : lines) {
      boolean isAround = line.millis() >= first - BEFORE_MILLIS && line.millis() <= last;
      if (line.isRequests() || isAround) {
        print(context, line);
      }
    }
    return ExitCode.OK;
  }

  private static int read(Path file, String id, List<Line> lines) throws CommandException {
    int malformed = 0;
    try {
      for (String text : Files.readAllLines(file, StandardCharsets.UTF_8)) {
        if (text.isBlank()) {
          continue;
        }
        try {
          JsonNode fields = Json.read(text.getBytes(StandardCharsets.UTF_8), JsonNode.class);
          boolean isRequests = fields.path("id").asText("").equals(id);
          if (isRequests || AROUND.contains(fields.path("event").asText(""))) {
            String name = String.valueOf(file.getFileName());
            lines.add(new Line(fields.path("ts").asLong(), name, fields, isRequests));
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

  private static void print(CommandContext context, Line line) {
    StringBuilder fields = new StringBuilder();
    line.fields()
        .fields()
        .forEachRemaining(
            field -> {
              boolean isShownApart = List.of("ts", "event", "id").contains(field.getKey());
              if (!isShownApart) {
                fields.append(' ').append(field.getKey()).append('=');
                fields.append(field.getValue().asText());
              }
            });
    context
        .out()
        .printf(
            "%s %s %s %s%s%n",
            line.isRequests() ? "*" : " ",
            Instant.ofEpochMilli(line.millis()),
            line.file(),
            line.fields().path("event").asText(),
            fields);
  }
}
