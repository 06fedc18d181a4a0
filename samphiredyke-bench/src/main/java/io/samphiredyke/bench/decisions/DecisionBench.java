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

/** Command {@code decisions}: prints how the decisions do under load beside the baselines. */
public final class DecisionBench {

  private static final List<Double> LOADS = List.of(0.5, 0.9, 1.2, 3.0);
  private static final double SECONDS = 300;
  private static final double QUICK_SECONDS = 90;
  private static final double PLOTTED_LOAD = 3;
  private static final Set<String> BASELINES = Set.of("round-robin", "least-loaded", "random-two");

  private final Namespace flags;
  private final PrintStream out;
  private final double seconds;
  private final Experiment experiment;
  private final Calibration calibration;
  private final List<String> broken = new ArrayList<>();

  private DecisionBench(Namespace flags, PrintStream out) {
    this.flags = flags;
    this.out = out;
    seconds = flags.getBoolean("quick") ? QUICK_SECONDS : SECONDS;
    long seed = flags.getLong("seed");
    calibration = new Calibration(seed);
    experiment = new Experiment(seed, calibration);
  }

  /**
   * Runs the command.
   *
   * @param args flags, see {@code --help}
   * @return the exit status: 0, 1 if a bound is broken, 2 for wrong flags
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
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of all runs");
    parser.addArgument("--quick").action(Arguments.storeTrue()).help("90 s of model time a run");
    parser.addArgument("--own").action(Arguments.storeTrue()).help("leave out the baselines");
    parser.addArgument("--variants").action(Arguments.storeTrue()).help("add variants of our own");
    parser.addArgument("--reasons").action(Arguments.storeTrue()).help("print reasons of refusal");
    parser.addArgument("--workload").help("only this workload: fugeverk or sundarban");
    parser.addArgument("--plots").metavar("DIRECTORY").help("write plots there");
    return parser;
  }

  private int run() {
    for (WorkloadKind kind : WorkloadKind.values()) {
      String only = flags.getString("workload");
      if (only == null || only.equalsIgnoreCase(kind.name())) {
        run(kind);
      }
    }
    String plots = flags.getString("plots");
    if (plots != null) {
      new Plots(Path.of(plots)).limits(experiment);
    }
    broken.forEach(each -> out.println("BROKEN BOUND " + each));
    return broken.isEmpty() ? 0 : 1;
  }

  private void run(WorkloadKind kind) {
    out.printf(Locale.ROOT, "%n%s: %.3f s of work a second:", kind, calibration.capacity(kind));
    for (EngineProfile engine : kind.engines()) {
      out.printf(Locale.ROOT, " %.3f", calibration.capacity(kind, engine));
    }
    out.println();
    header();
    for (Scenario scenario : scenarios(kind)) {
      List<RunResult> results = new ArrayList<>();
      for (Map.Entry<String, Dispatcher.Factory> policy : policies().entrySet()) {
        RunResult result = experiment.run(scenario, policy.getKey(), policy.getValue());
        results.add(result);
        row(result);
      }
      broken.addAll(Bounds.broken(results));
      plot(scenario, results);
    }
  }

  private void plot(Scenario scenario, List<RunResult> results) {
    String plots = flags.getString("plots");
    if (plots == null || scenario.load() < PLOTTED_LOAD) {
      return;
    }
    String name = "goodput-" + scenario.kind().name().toLowerCase(Locale.ROOT);
    new Plots(Path.of(plots)).goodput(name, results);
  }

  private Map<String, Dispatcher.Factory> policies() {
    BrokeredOptions own = BrokeredOptions.OWN;
    Map<String, Dispatcher.Factory> policies = new LinkedHashMap<>();
    policies.put("own", BrokeredDispatcher.factory(own));
    if (flags.getBoolean("variants")) {
      policies.put("two-claims", BrokeredDispatcher.factory(own.withParallelClaims(2)));
      policies.put("no-hold-off", BrokeredDispatcher.factory(own.withoutHoldOff()));
      policies.put("median-length", BrokeredDispatcher.factory(own.withOutputDeviations(0)));
      policies.put("long-length", BrokeredDispatcher.factory(own.withOutputDeviations(2)));
    }
    if (flags.getBoolean("own")) {
      return policies;
    }
    policies.put("fifo-no-tiers", BrokeredDispatcher.factory(own.withoutTiers()));
    policies.put("no-prefixes", BrokeredDispatcher.factory(own.withoutPrefixes()));
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

  private void header() {
    out.println(
        "scenario                     policy         good0  good1  good2  good3  total  wasted"
            + "  cached ttft50 ttft95 ttft0-95 gap50 gap95 slowest inv");
  }

  private void row(RunResult result) {
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
        result.tally().inversions());
    if (flags.getBoolean("reasons")) {
      out.println("    " + result.tally().reasons());
    }
  }
}
