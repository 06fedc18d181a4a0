package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;

/** Ends a sub-command with a message and an exit code. */
public final class CommandException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  /**
   * Creates the exception.
   *
   * @param exitCode the exit code
   * @param message what happened and what can be done
   */
  public CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Returns the exit code. */
  public ExitCode exitCode() {
    return exitCode;
  }
}
