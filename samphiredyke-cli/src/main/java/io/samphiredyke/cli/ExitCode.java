package io.samphiredyke.cli;

/** The exit codes of the tool. */
public enum ExitCode {
  /** All went well. */
  OK(0),
  /** The files have errors. */
  FINDINGS(1),
  /** The flags are wrong. */
  USAGE(2),
  /** The change was rejected; another operator's change came first or a reference broke. */
  CONFLICT(3),
  /** The log can't be used, and nothing was published. */
  LOG_UNAVAILABLE(4),
  /** The deadline passed and the change may still take effect. */
  UNKNOWN_OUTCOME(5),
  /** The change is accepted but was not seen in force on every host in time. */
  NOT_IN_FORCE(6),
  /** No host answered, or one refused. */
  HOST_UNAVAILABLE(7),
  /** What was asked for does not exist. */
  NOT_FOUND(8),
  /** The output could not be written. */
  OUTPUT_FAILED(9);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the number that the process exits with. */
  public int code() {
    return code;
  }
}
