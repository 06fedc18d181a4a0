package io.samphiredyke.cli;

/** Exit codes of samphiredykectl. */
public enum ExitCode {
  /** Success. */
  OK(0),
  /** The configuration files have errors. */
  FINDINGS(1),
  /** The command line is invalid. */
  USAGE(2),
  /**
   * The change was rejected, because an item was changed concurrently or a reference is invalid.
   */
  CONFLICT(3),
  /** The log is unavailable, and nothing was published. */
  LOG_UNAVAILABLE(4),
  /** The timeout expired before the outcome was known; the change may still take effect. */
  UNKNOWN_OUTCOME(5),
  /** The change was accepted but did not become active on every host within the timeout. */
  NOT_IN_FORCE(6),
  /** No host responded, or a host rejected the request. */
  HOST_UNAVAILABLE(7),
  /** The requested object does not exist. */
  NOT_FOUND(8),
  /** Standard output could not be written. */
  OUTPUT_FAILED(9);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the exit code of the process. */
  public int code() {
    return code;
  }
}
