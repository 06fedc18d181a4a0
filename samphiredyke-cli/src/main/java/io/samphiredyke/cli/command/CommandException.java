package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;

/** Thrown when a subcommand fails; carries the message for the operator and the exit code. */
public final class CommandException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  /**
   * Creates the exception.
   *
   * @param exitCode the exit code of the process
   * @param message what failed, and how to fix it where known
   */
  public CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Returns the exit code of the process. */
  public ExitCode exitCode() {
    return exitCode;
  }
}
