package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;

/** A sub-command. */
@FunctionalInterface
public interface Command {

  /**
   * Carries out the sub-command.
   *
   * @param context its flags and means
   * @return the exit code
   * @throws CommandException if it can't go on
   */
  ExitCode run(CommandContext context) throws CommandException;
}
