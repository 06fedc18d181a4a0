package io.samphiredyke.cli;

import io.samphiredyke.cli.command.CommandContext;
import io.samphiredyke.cli.command.CommandException;
import io.samphiredyke.cli.command.CommandLineParser;
import io.samphiredyke.cli.command.Subcommand;
import io.samphiredyke.cli.publish.BlockingHttpClient;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.time.Clock;
import java.util.Map;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Entry point of samphiredykectl, the command line tool for operators. */
public final class Main {

  private final Map<String, String> environment;
  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates the tool.
   *
   * @param environment the environment variables
   * @param out the stream for results
   * @param err the stream for messages
   */
  public Main(Map<String, String> environment, PrintStream out, PrintStream err) {
    this.environment = environment;
    this.out = out;
    this.err = err;
  }

  /**
   * Runs the tool and exits the process.
   *
   * @param args the command line arguments
   */
  public static void main(String[] args) {
    System.setProperty("logback.configurationFile", "logback-samphiredykectl.xml");
    ExitCode exitCode = new Main(System.getenv(), System.out, System.err).run(args);
    System.exit(exitCode.code());
  }

  /**
   * Runs a subcommand.
   *
   * @param args the command line arguments
   * @return the exit code
   */
  public ExitCode run(String... args) {
    ArgumentParser parser = CommandLineParser.create(environment, version());
    ExitCode exitCode;
    try (BlockingHttpClient httpClient = new BlockingHttpClient()) {
      Namespace flags = parser.parseArgs(args);
      exitCode = run(new CommandContext(flags, out, err, httpClient, Clock.systemUTC()));
    } catch (HelpScreenException e) {
      exitCode = ExitCode.OK;
    } catch (ArgumentParserException e) {
      parser.handleError(e, new PrintWriter(err, true));
      exitCode = ExitCode.USAGE;
    }
    return checkOutput(exitCode);
  }

  private ExitCode run(CommandContext context) {
    Subcommand subcommand = context.flags().get(CommandLineParser.COMMAND);
    try {
      return subcommand.run(context);
    } catch (CommandException e) {
      err.println("samphiredykectl: " + e.getMessage());
      return e.exitCode();
    }
  }

  private ExitCode checkOutput(ExitCode exitCode) {
    if (out.checkError()) {
      err.println("samphiredykectl: standard output can't be written; is the disk full?");
      return exitCode == ExitCode.OK ? ExitCode.OUTPUT_FAILED : exitCode;
    }
    return exitCode;
  }

  private static String version() {
    String version = Main.class.getPackage().getImplementationVersion();
    return version == null ? "(development build)" : version;
  }
}
