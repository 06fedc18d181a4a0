package io.samphiredyke.cli.files;

/**
 * A position in a file.
 *
 * @param file the path of the file
 * @param line the line, from 1
 * @param column the column, from 1
 */
public record SourceLocation(String file, int line, int column) {

  @Override
  public String toString() {
    return file + ":" + line + ":" + column;
  }
}
