package io.samphiredyke.standins;

import java.util.concurrent.CompletionException;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** Entry point of a process that runs one stand-in. */
public final class Main {

  private static final int EXIT_USAGE = 2;
  private static final int EXIT_NOT_STARTED = 3;

  private Main() {}

  /**
   * Runs the stand-in named by the first argument until the process is stopped.
   *
   * <p>Exit codes: 0 after {@code --help}, 2 for an invalid or missing flag, 3 if the stand-in
   * can't start, for example because its port is in use.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    CommandLine commandLine = new CommandLine();
    try {
      StandInStarter starter = commandLine.parse(args);
      System.out.println(starter.start().join());
    } catch (ArgumentParserException e) {
      System.exit(commandLine.printError(e) ? 0 : EXIT_USAGE);
    } catch (CompletionException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      System.err.println("samphiredyke-standin: can't start: " + cause.getMessage());
      System.exit(EXIT_NOT_STARTED);
    }
  }
}
