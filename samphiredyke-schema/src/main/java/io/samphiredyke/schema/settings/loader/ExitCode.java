package io.samphiredyke.schema.settings.loader;

/** The exit codes of the programs. */
public enum ExitCode {
  /** The program succeeded. */
  OK(0, "The program succeeded."),

  /** The program ran, and the result is negative, such as findings in checked files. */
  FAILED(1, "The program ran and the result is negative, such as findings in checked files."),

  /** A flag or an environment variable is invalid or missing. */
  BAD_SETTINGS(2, "A flag or an environment variable is invalid or missing."),

  /** An address is in use or does not belong to the host. */
  CANNOT_BIND(3, "An address is in use or does not belong to the host."),

  /** A required service does not respond. */
  UNAVAILABLE(4, "A required service does not respond."),

  /** A change was based on an outdated version of an item. */
  CONFLICT(5, "A change was based on an outdated version of an item."),

  /** A graceful shutdown reached its drain timeout with requests in flight. */
  DRAIN_TIMEOUT(6, "A graceful shutdown reached its drain timeout with requests in flight."),

  /** An internal error of the program. */
  INTERNAL_ERROR(70, "An internal error of the program.");

  private final int code;
  private final String description;

  ExitCode(int code, String description) {
    this.code = code;
    this.description = description;
  }

  /** Returns the number that the process ends with. */
  public int code() {
    return code;
  }

  /** Returns a sentence for the reference pages. */
  public String description() {
    return description;
  }
}
