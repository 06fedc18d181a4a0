package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;

/** A subcommand of samphiredykectl. */
@FunctionalInterface
public interface Subcommand {

  /**
   * Runs the subcommand.
   *
   * @param context the flags and the resources of the subcommand
   * @return the exit code
   * @throws CommandException if the subcommand fails
   */
  ExitCode run(CommandContext context) throws CommandException;
}
