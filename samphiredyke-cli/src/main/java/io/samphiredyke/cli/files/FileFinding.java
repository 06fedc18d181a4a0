package io.samphiredyke.cli.files;

import java.util.Comparator;

/**
 * A fault in a file.
 *
 * @param place where it is
 * @param severity how grave it is
 * @param message what is wrong
 */
public record FileFinding(Place place, Severity severity, String message)
    implements Comparable<FileFinding> {

  private static final Comparator<FileFinding> ORDER =
      Comparator.<FileFinding, String>comparing(finding -> finding.place().file())
          .thenComparing(finding -> finding.place().line())
          .thenComparing(finding -> finding.place().column())
          .thenComparing(FileFinding::message);

  /** How grave a finding is. */
  public enum Severity {
    /** The files can't be published. */
    ERROR,
    /** The files can be published, but may not do what is meant. */
    WARNING
  }

  /**
   * Returns an error.
   *
   * @param place where it is
   * @param message what is wrong
   */
  public static FileFinding error(Place place, String message) {
    return new FileFinding(place, Severity.ERROR, message);
  }

  /**
   * Returns a warning.
   *
   * @param place where it is
   * @param message what is doubtful
   */
  public static FileFinding warning(Place place, String message) {
    return new FileFinding(place, Severity.WARNING, message);
  }

  /** Returns whether this finding prevents publishing. */
  public boolean isError() {
    return severity == Severity.ERROR;
  }

  @Override
  public int compareTo(FileFinding other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return place + ": " + (isError() ? "error: " : "warning: ") + message;
  }
}
