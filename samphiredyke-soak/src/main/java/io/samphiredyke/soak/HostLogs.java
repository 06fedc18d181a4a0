package io.samphiredyke.soak;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What hosts logged about the requests of findings. */
final class HostLogs {

  private static final String ID_FIELD = "\"id\":\"";

  private HostLogs() {}

  /**
   * Adds the lines that name the request of a finding to its history.
   *
   * @param directory contains the logs of the hosts
   * @throws IOException if a log can't be read
   */
  static List<EndpointFaultsChecker.Finding> addTo(
      List<EndpointFaultsChecker.Finding> findings, Path directory) throws IOException {
    Map<String, List<String>> lines = new HashMap<>();
    findings.forEach(finding -> lines.put(finding.id(), new ArrayList<>()));
    if (lines.isEmpty()) {
      return findings;
    }
    try (DirectoryStream<Path> logs = Files.newDirectoryStream(directory, "host-*.log")) {
      for (Path log : logs) {
        String host = log.getFileName().toString().replace(".log", "");
        for (String line : Files.readAllLines(log)) {
          List<String> found = lines.get(idOf(line));
          if (found != null) {
            found.add(host + " " + line);
          }
        }
      }
    }
    return findings.stream()
        .map(finding -> finding.with(lines.getOrDefault(finding.id(), List.of())))
        .toList();
  }

  private static String idOf(String line) {
    int start = line.indexOf(ID_FIELD) + ID_FIELD.length();
    int end = line.indexOf('"', start);
    return start < ID_FIELD.length() || end < 0 ? "" : line.substring(start, end);
  }
}
