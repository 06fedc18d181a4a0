package io.samphiredyke.standins;

import java.util.concurrent.CompletionException;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** Starts one stand-in as a process. */
public final class Main {

  private static final int EXIT_USAGE = 2;
  private static final int EXIT_NOT_STARTED = 3;

  private Main() {}

  /**
   * Runs the stand-in that the first argument names until the process is stopped.
   *
   * <p>Exit codes: 0 after {@code --help}, 2 for a flag that is wrong or missing, 3 if the stand-in
   * can't start, such as for a port in use.
   *
   * @param args the flags
   */
  public static void main(String[] args) {
    CommandLine commandLine = new CommandLine();
    try {
      StandInStarter starter = commandLine.parse(args);
      System.out.println(starter.start().join());
    } catch (ArgumentParserException e) {
      System.exit(commandLine.report(e) ? 0 : EXIT_USAGE);
    } catch (CompletionException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      System.err.println("samphiredyke-standin: can't start: " + cause.getMessage());
      System.exit(EXIT_NOT_STARTED);
    }
  }
}
