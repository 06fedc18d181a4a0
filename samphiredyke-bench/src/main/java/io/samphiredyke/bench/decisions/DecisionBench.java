package io.samphiredyke.bench.decisions;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command {@code decisions}: compares scheduling decisions under load with baseline policies. */
public final class DecisionBench {

  private static final List<Double> LOADS = List.of(0.5, 0.9, 1.2, 3.0);

  /** Simulated length of a run. */
  private static final double RUN_SECONDS = 300;

  private static final double QUICK_RUN_SECONDS = 90;
  private static final double MIN_PLOTTED_LOAD = 3;
  private static final Set<String> BASELINES = Set.of("round-robin", "least-loaded", "random-two");

  private final Namespace flags;
  private final PrintStream out;
  private final double seconds;
  private final Experiment experiment;
  private final Calibration calibration;
  private final List<String> violatedBounds = new ArrayList<>();

  private DecisionBench(Namespace flags, PrintStream out) {
    this.flags = flags;
    this.out = out;
    seconds = flags.getBoolean("quick") ? QUICK_RUN_SECONDS : RUN_SECONDS;
    long seed = flags.getLong("seed");
    calibration = new Calibration(seed);
    experiment = new Experiment(seed, calibration);
  }

  /**
   * Runs the command.
   *
   * @param args flags, see {@code --help}
   * @return the exit status: 0 on success, 1 if a bound is violated, 2 for invalid flags
   */
  public static int run(String[] args) {
    ArgumentParser parser = parser();
    try {
      return new DecisionBench(parser.parseArgs(args), System.out).run();
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return 2;
    }
  }

  static boolean isBaseline(String policy) {
    return BASELINES.contains(policy);
  }

  private static ArgumentParser parser() {
    ArgumentParser parser = ArgumentParsers.newFor("samphiredyke-bench decisions").build();
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("random seed of all runs");
    parser.addArgument("--quick").action(Arguments.storeTrue()).help("simulate 90 s per run");
    parser.addArgument("--own").action(Arguments.storeTrue()).help("omit the baseline policies");
    parser
        .addArgument("--variants")
        .action(Arguments.storeTrue())
        .help("add variants of the production policy");
    parser
        .addArgument("--reasons")
        .action(Arguments.storeTrue())
        .help("print the reasons for refusals");
    parser.addArgument("--workload").help("run only this workload: fugeverk or sundarban");
    parser.addArgument("--plots").metavar("DIRECTORY").help("write plots to this directory");
    return parser;
  }

  private int run() {
    for (WorkloadKind kind : WorkloadKind.values()) {
      String workload = flags.getString("workload");
      if (workload == null || workload.equalsIgnoreCase(kind.name())) {
        run(kind);
      }
    }
    String plots = flags.getString("plots");
    if (plots != null) {
      new Plots(Path.of(plots)).writeConcurrencyLimits(experiment);
    }
    violatedBounds.forEach(violation -> out.println("BROKEN BOUND " + violation));
    return violatedBounds.isEmpty() ? 0 : 1;
  }

  private void run(WorkloadKind kind) {
    out.printf(Locale.ROOT, "%n%s: %.3f s of work a second:", kind, calibration.capacity(kind));
    for (EngineProfile engine : kind.engines()) {
      out.printf(Locale.ROOT, " %.3f", calibration.capacity(kind, engine));
    }
    out.println();
    printHeader();
    for (Scenario scenario : scenarios(kind)) {
      List<RunResult> results = new ArrayList<>();
      for (Map.Entry<String, Dispatcher.Factory> policy : policies().entrySet()) {
        RunResult result = experiment.run(scenario, policy.getKey(), policy.getValue());
        results.add(result);
        printRow(result);
      }
      violatedBounds.addAll(Bounds.violations(results));
      plot(scenario, results);
    }
  }

  private void plot(Scenario scenario, List<RunResult> results) {
    String plots = flags.getString("plots");
    if (plots == null || scenario.load() < MIN_PLOTTED_LOAD) {
      return;
    }
    String name = "goodput-" + scenario.kind().name().toLowerCase(Locale.ROOT);
    new Plots(Path.of(plots)).writeGoodput(name, results);
  }

  private Map<String, Dispatcher.Factory> policies() {
    BrokeredOptions production = BrokeredOptions.PRODUCTION;
    Map<String, Dispatcher.Factory> policies = new LinkedHashMap<>();
    policies.put("own", BrokeredDispatcher.factory(production));
    if (flags.getBoolean("variants")) {
      policies.put(
          "two-claims", BrokeredDispatcher.factory(production.withParallelSlotRequests(2)));
      policies.put("no-hold-off", BrokeredDispatcher.factory(production.withoutHoldOff()));
      policies.put("median-length", BrokeredDispatcher.factory(production.withOutputDeviations(0)));
      policies.put("long-length", BrokeredDispatcher.factory(production.withOutputDeviations(2)));
    }
    if (flags.getBoolean("own")) {
      return policies;
    }
    policies.put("fifo-no-tiers", BrokeredDispatcher.factory(production.withoutTiers()));
    policies.put("no-prefixes", BrokeredDispatcher.factory(production.withoutPrefixes()));
    policies.put("round-robin", DirectDispatcher::roundRobin);
    policies.put("least-loaded", DirectDispatcher::leastLoaded);
    policies.put("random-two", DirectDispatcher::randomTwo);
    return policies;
  }

  private List<Scenario> scenarios(WorkloadKind kind) {
    List<Scenario> scenarios = new ArrayList<>();
    for (double load : LOADS) {
      scenarios.add(new Scenario(kind, load, seconds, Scenario.Fault.NONE));
    }
    for (Scenario.Fault fault : Scenario.Fault.values()) {
      if (fault != Scenario.Fault.NONE) {
        scenarios.add(new Scenario(kind, 0.9, seconds, fault));
      }
    }
    return scenarios;
  }

  private void printHeader() {
    out.println(
        "scenario                     policy         good0  good1  good2  good3  total  wasted"
            + "  cached ttft50 ttft95 ttft0-95 gap50 gap95 slowest inv");
  }

  private void printRow(RunResult result) {
    out.printf(
        Locale.ROOT,
        "%-28s %-13s %6.3f %6.3f %6.3f %6.3f %6.3f %7.4f %7.3f %6.2f %6.2f %8.2f %5.1f %5.1f"
            + " %7.2f %3d%n",
        result.scenario().name(),
        result.policy(),
        result.goodput(0),
        result.goodput(1),
        result.goodput(2),
        result.goodput(3),
        result.totalGoodput(),
        result.wastedPrefill(),
        result.cachedShare(),
        result.firstTokenSeconds(50),
        result.firstTokenSeconds(95),
        result.firstTokenSeconds(0, 95),
        result.tokenGapMillis(50),
        result.tokenGapMillis(95),
        result.slowestShare(),
        result.statistics().inversions());
    if (flags.getBoolean("reasons")) {
      out.println("    " + result.statistics().reasons());
    }
  }
}
