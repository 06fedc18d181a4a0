package io.samphiredyke.cli.files;

import java.util.Comparator;

/**
 * A problem found in a configuration file.
 *
 * @param location the position of the problem
 * @param severity whether it prevents publishing
 * @param message a description of the problem
 */
public record FileFinding(SourceLocation location, Severity severity, String message)
    implements Comparable<FileFinding> {

  private static final Comparator<FileFinding> ORDER =
      Comparator.<FileFinding, String>comparing(finding -> finding.location().file())
          .thenComparing(finding -> finding.location().line())
          .thenComparing(finding -> finding.location().column())
          .thenComparing(FileFinding::message);

  /** The severity of a finding. */
  public enum Severity {
    /** The files can't be published. */
    ERROR,
    /** The files can be published, but probably don't have the intended effect. */
    WARNING
  }

  /**
   * Returns an error.
   *
   * @param location the position of the error
   * @param message a description of the error
   */
  public static FileFinding error(SourceLocation location, String message) {
    return new FileFinding(location, Severity.ERROR, message);
  }

  /**
   * Returns a warning.
   *
   * @param location the position of the problem
   * @param message a description of the problem
   */
  public static FileFinding warning(SourceLocation location, String message) {
    return new FileFinding(location, Severity.WARNING, message);
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
    return location + ": " + (isError() ? "error: " : "warning: ") + message;
  }
}
