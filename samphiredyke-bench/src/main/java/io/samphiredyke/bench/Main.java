package io.samphiredyke.bench;

import io.samphiredyke.bench.capacity.CapacityCommand;
import io.samphiredyke.bench.decisions.DecisionBench;
import io.samphiredyke.bench.jmh.DecisionJmh;
import io.samphiredyke.bench.load.LoadCommand;
import io.samphiredyke.bench.load.OverheadCommand;
import io.samphiredyke.bench.membership.MembershipBench;
import io.samphiredyke.bench.ownership.OwnershipComparison;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;

/** Starts the program: the first argument names the command, which reads the others. */
public final class Main {

  private static final int EXIT_OK = 0;
  private static final int EXIT_USAGE = 2;

  private Main() {}

  private enum Command {
    CAPACITY(
        "measures costs and works out those of a host at the planned size", CapacityCommand::run),
    DECISIONS("measures the decisions under load against baselines", DecisionBench::run),
    JMH("measures the time that one decision takes", DecisionJmh::run),
    MEMBERSHIP("simulates failure detection among many hosts", MembershipBench::run),
    OWNERSHIP("compares ways to dispatch at most once", OwnershipComparison::run),
    LOAD("makes a load and checks what came of it", LoadCommand::run),
    OVERHEAD("compares calls through the system with direct ones", OverheadCommand::run);

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
   * @param args the command and its flags
   */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  static int run(String[] args) {
    String first = args.length == 0 ? "" : args[0];
    Command command = Command.of(first);
    if (command != null) {
      return command.run.applyAsInt(Arrays.copyOfRange(args, 1, args.length));
    }
    boolean asked = first.equals("--help") || first.equals("-h");
    if (!asked) {
      System.err.println("samphiredyke-bench: '" + first + "' is not a command");
    }
    printUsage();
    return asked ? EXIT_OK : EXIT_USAGE;
  }

  private static void printUsage() {
    System.out.println("usage: samphiredyke-bench COMMAND [flags]");
    for (Command command : Command.values()) {
      System.out.printf(Locale.ROOT, "  %-14s %s%n", command.flag(), command.help);
    }
    System.out.println("COMMAND --help lists its flags");
  }
}
