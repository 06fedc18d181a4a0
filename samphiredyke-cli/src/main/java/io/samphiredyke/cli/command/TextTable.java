package io.samphiredyke.cli.command;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** A plain-text table with aligned columns. */
final class TextTable {

  private static final String COLUMN_SEPARATOR = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  TextTable(String... headers) {
    rows.add(List.of(headers));
  }

  void addRow(Object... cells) {
    rows.add(Arrays.stream(cells).map(String::valueOf).toList());
  }

  boolean isEmpty() {
    return rows.size() == 1;
  }

  @Override
  public String toString() {
    int[] widths = new int[rows.get(0).size()];
    for (List<String> row : rows) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    return rows.stream().map(row -> formatRow(row, widths)).collect(Collectors.joining("\n"))
        + "\n";
  }

  private static String formatRow(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      line.append(row.get(i))
          .append(" ".repeat(widths[i] - row.get(i).length()))
          .append(COLUMN_SEPARATOR);
    }
    return line.toString().stripTrailing();
  }
}
