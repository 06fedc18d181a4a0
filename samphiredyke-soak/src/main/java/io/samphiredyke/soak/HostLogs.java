package io.samphiredyke.soak;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The lines of the hosts' logs, by the id of the request that they name. */
final class HostLogs {

  private static final String ID_FIELD = "\"id\":\"";
  private static final String TIME_FIELD = "\"ts\":";

  /** Statuses of hosts that the operator looks for in their logs. */
  private static final int FIRST_ERROR = 400;

  private final Map<String, List<String>> lines = new HashMap<>();

  /**
   * Reads the logs of a directory, to which each run of a seed appends.
   *
   * @param beginMillis when the run began, milliseconds since the epoch
   * @throws IOException if a log can't be read
   */
  HostLogs(Path directory, long beginMillis) throws IOException {
    try (DirectoryStream<Path> logs = Files.newDirectoryStream(directory, "host-*.log")) {
      for (Path log : logs) {
        String host = log.getFileName().toString().replace(".log", "");
        for (String line : Files.readAllLines(log)) {
          String id = field(line, ID_FIELD, '"');
          String millis = field(line, TIME_FIELD, ',');
          if (!id.isEmpty() && !millis.isEmpty() && Long.parseLong(millis) >= beginMillis) {
            lines.computeIfAbsent(id, key -> new ArrayList<>()).add(host + " " + line);
          }
        }
      }
    }
  }

  private static String field(String line, String name, char delimiter) {
    int start = line.indexOf(name) + name.length();
    int end = line.indexOf(delimiter, start);
    return start < name.length() || end < 0 ? "" : line.substring(start, end);
  }

  /** Adds the lines that name the request of a finding to its history. */
  List<EndpointFaultsChecker.Finding> addTo(List<EndpointFaultsChecker.Finding> findings) {
    return findings.stream()
        .map(finding -> finding.with(lines.getOrDefault(finding.id(), List.of())))
        .toList();
  }

  /** Returns a finding for each request with more errors of hosts than lines that report one. */
  List<EndpointFaultsChecker.Finding> unreported(Collection<CallerOutcome> outcomes) {
    Map<String, List<CallerOutcome>> errors =
        outcomes.stream()
            .filter(outcome -> outcome.signature().isEmpty() && outcome.status() >= FIRST_ERROR)
            .collect(Collectors.groupingBy(CallerOutcome::id, TreeMap::new, Collectors.toList()));
    List<EndpointFaultsChecker.Finding> findings = new ArrayList<>();
    errors.forEach(
        (id, received) -> {
          if (reports(id) < received.size()) {
            findings.add(
                new EndpointFaultsChecker.Finding(
                    "UNREPORTED error of a host",
                    id,
                    received.stream().map(CallerOutcome::toString).toList()));
          }
        });
    return findings;
  }

  private long reports(String id) {
    return lines.getOrDefault(id, List.of()).stream()
        .filter(
            line -> line.contains("\"event\":\"refused\"") || line.contains("\"event\":\"failed\""))
        .count();
  }
}
