package io.samphiredyke.bench.membership;

import io.samphiredyke.core.membership.MembershipSettings;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command {@code membership}: benchmarks the membership state machine in simulated time. */
public final class MembershipBench {

  private static final int EXIT_BOUND_EXCEEDED = 1;
  private static final int EXIT_USAGE = 2;

  private MembershipBench() {}

  /**
   * Runs the command.
   *
   * @param args flags, see {@code --help}
   * @return the exit status: 0 if all measurements are within their bounds, 1 if one exceeds its
   *     bound, 2 for invalid flags
   */
  public static int run(String[] args) {
    ArgumentParser parser =
        ArgumentParsers.newFor("samphiredyke-bench membership")
            .build()
            .defaultHelp(true)
            .description("Benchmarks the membership state machine in simulated time.");
    parser
        .addArgument("--seed")
        .type(Long.class)
        .setDefault(1L)
        .help("random seed of all scenarios");
    parser.addArgument("--members").type(Integer.class).setDefault(340).help("number of hosts");
    parser
        .addArgument("--crashes")
        .type(Integer.class)
        .setDefault(30)
        .help("number of host crashes");
    parser
        .addArgument("--only")
        .setDefault("")
        .help("run only scenarios whose name contains this text");
    try {
      return measure(parser.parseArgs(args));
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return EXIT_USAGE;
    }
  }

  private static int measure(Namespace flags) {
    int members = flags.getInt("members");
    Scenarios scenarios =
        new Scenarios(members, flags.getLong("seed"), MembershipSettings.builder().build());
    String filter = flags.getString("only");
    int crashes = flags.getInt("crashes");
    for (NamedScenario scenario : namedScenarios(scenarios, crashes)) {
      if (scenario.name().contains(filter)) {
        int countBefore = scenarios.measurements().size();
        scenario.action().run();
        List<Measurement> measurements = scenarios.measurements();
        Scenarios.print(measurements.subList(countBefore, measurements.size()));
      }
    }
    if ("slopes".contains(filter)) {
      PerNodeCosts.print(flags.getLong("seed"));
    }
    boolean passes = scenarios.measurements().stream().allMatch(Measurement::passes);
    System.out.println(passes ? "all bounds kept" : "bounds EXCEEDED");
    return passes ? 0 : EXIT_BOUND_EXCEEDED;
  }

  private record NamedScenario(String name, Runnable action) {}

  private static List<NamedScenario> namedScenarios(Scenarios scenarios, int crashes) {
    return List.of(
        new NamedScenario("cold-start", scenarios::coldStart),
        new NamedScenario("steady-0", () -> scenarios.steady(0)),
        new NamedScenario("steady-1", () -> scenarios.steady(1)),
        new NamedScenario("steady-5", () -> scenarios.steady(5)),
        new NamedScenario("crashes-0", () -> scenarios.crashes(0, crashes)),
        new NamedScenario("crashes-1", () -> scenarios.crashes(1, crashes)),
        new NamedScenario("crashes-5", () -> scenarios.crashes(5, crashes)),
        new NamedScenario("pause-1", () -> scenarios.pauses(1)),
        new NamedScenario("pause-10", () -> scenarios.pauses(10)),
        new NamedScenario("rack", scenarios::rack),
        new NamedScenario("data-centre", scenarios::dataCentre),
        new NamedScenario("regions", scenarios::regions),
        new NamedScenario("leave", scenarios::leaves),
        new NamedScenario("restarts", scenarios::restarts));
  }
}
