package io.samphiredyke.cli;

import io.samphiredyke.cli.command.Command;
import io.samphiredyke.cli.command.CommandContext;
import io.samphiredyke.cli.command.CommandException;
import io.samphiredyke.cli.command.CommandLine;
import io.samphiredyke.cli.publish.HttpCalls;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.time.Clock;
import java.util.Map;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Starts the operators' tool. */
public final class Main {

  private final Map<String, String> environment;
  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates the tool.
   *
   * @param environment the environment variables
   * @param out takes results
   * @param err takes messages
   */
  public Main(Map<String, String> environment, PrintStream out, PrintStream err) {
    this.environment = environment;
    this.out = out;
    this.err = err;
  }

  /**
   * Runs the program.
   *
   * @param args the flags
   */
  public static void main(String[] args) {
    System.setProperty("logback.configurationFile", "logback-samphiredykectl.xml");
    ExitCode exitCode = new Main(System.getenv(), System.out, System.err).run(args);
    System.exit(exitCode.code());
  }

  /**
   * Runs a sub-command.
   *
   * @param args the flags
   * @return the exit code
   */
  public ExitCode run(String... args) {
    ArgumentParser parser = CommandLine.parser(environment, version());
    ExitCode exitCode;
    try (HttpCalls calls = new HttpCalls()) {
      Namespace flags = parser.parseArgs(args);
      exitCode = run(new CommandContext(flags, out, err, calls, Clock.systemUTC()));
    } catch (HelpScreenException e) {
      exitCode = ExitCode.OK;
    } catch (ArgumentParserException e) {
      parser.handleError(e, new PrintWriter(err, true));
      exitCode = ExitCode.USAGE;
    }
    return written(exitCode);
  }

  private ExitCode run(CommandContext context) {
    Command command = context.flags().get(CommandLine.COMMAND);
    try {
      return command.run(context);
    } catch (CommandException e) {
      err.println("samphiredykectl: " + e.getMessage());
      return e.exitCode();
    }
  }

  private ExitCode written(ExitCode exitCode) {
    if (out.checkError()) {
      err.println("samphiredykectl: the output can't be written; is the disk full?");
      return exitCode == ExitCode.OK ? ExitCode.OUTPUT_FAILED : exitCode;
    }
    return exitCode;
  }

  private static String version() {
    String version = Main.class.getPackage().getImplementationVersion();
    return version == null ? "(development build)" : version;
  }
}
