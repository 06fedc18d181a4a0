package io.samphiredyke.bench;

import io.samphiredyke.bench.capacity.CapacityCommand;
import io.samphiredyke.bench.decisions.DecisionBench;
import io.samphiredyke.bench.jmh.DecisionJmh;
import io.samphiredyke.bench.jmh.PathJmh;
import io.samphiredyke.bench.jmh.PoolJmh;
import io.samphiredyke.bench.load.LoadCommand;
import io.samphiredyke.bench.load.OverheadCommand;
import io.samphiredyke.bench.membership.MembershipBench;
import io.samphiredyke.bench.ownership.OwnershipComparison;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;

/** Entry point of the program; the first argument selects the command, which parses the others. */
public final class Main {

  private static final int EXIT_OK = 0;
  private static final int EXIT_USAGE = 2;

  private Main() {}

  private enum Command {
    CAPACITY(
        "measures unit costs and estimates host resources at the planned size",
        CapacityCommand::run),
    DECISIONS("compares scheduling decisions under load with baselines", DecisionBench::run),
    JMH("measures the time of one scheduling decision", DecisionJmh::run),
    POOL_JMH("measures the time of one decision of the pool scheduler", PoolJmh::run),
    PATH_JMH("measures decisions of the pool scheduler while hosts are cut off", PathJmh::run),
    MEMBERSHIP("simulates failure detection among many hosts", MembershipBench::run),
    OWNERSHIP("compares protocols for at-most-once dispatch", OwnershipComparison::run),
    LOAD("generates load and verifies the outcomes", LoadCommand::run),
    OVERHEAD(
        "compares the latency of calls through the system with direct calls", OverheadCommand::run);

    private final String help;
    private final ToIntFunction<String[]> run;

    Command(String help, ToIntFunction<String[]> run) {
      this.help = help;
      this.run = run;
    }

    String flag() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static @Nullable Command of(String flag) {
      return Arrays.stream(values()).filter(c -> c.flag().equals(flag)).findFirst().orElse(null);
    }
  }

  /**
   * Runs the program and exits with the command's exit code.
   *
   * @param args command name followed by its flags
   */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  static int run(String[] args) {
    String commandName = args.length == 0 ? "" : args[0];
    Command command = Command.of(commandName);
    if (command != null) {
      return command.run.applyAsInt(Arrays.copyOfRange(args, 1, args.length));
    }
    boolean isHelp = commandName.equals("--help") || commandName.equals("-h");
    if (!isHelp) {
      System.err.println("samphiredyke-bench: unknown command '" + commandName + "'");
    }
    printUsage();
    return isHelp ? EXIT_OK : EXIT_USAGE;
  }

  private static void printUsage() {
    System.out.println("usage: samphiredyke-bench COMMAND [flags]");
    for (Command command : Command.values()) {
      System.out.printf(Locale.ROOT, "  %-14s %s%n", command.flag(), command.help);
    }
    System.out.println("use COMMAND --help for the flags of a command");
  }
}
