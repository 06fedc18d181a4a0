package io.samphiredyke.schema.settings.loader;

/** The exit codes of all programs. */
public enum ExitCode {
  /** The program did what was asked. */
  OK(0, "The program did what was asked."),

  /** The program ran, and the answer is negative, such as findings in checked files. */
  FAILED(1, "The program ran and the answer is negative, such as findings in checked files."),

  /** A flag or an environment variable is wrong or missing. */
  BAD_SETTINGS(2, "A flag or an environment variable is wrong or missing."),

  /** An address is in use or doesn't belong to the host. */
  CANNOT_BIND(3, "An address is in use or doesn't belong to the host."),

  /** A service that the program needs doesn't answer. */
  UNAVAILABLE(4, "A service that the program needs doesn't answer."),

  /** A change was based on an old version of an item. */
  CONFLICT(5, "A change was based on an old version of an item."),

  /** A planned stop reached its drain timeout with requests in flight. */
  DRAIN_TIMEOUT(6, "A planned stop reached its drain timeout with requests in flight."),

  /** A fault of the program itself. */
  INTERNAL_ERROR(70, "A fault of the program itself.");

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
