package io.samphiredyke.bench.decisions;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Command {@code decisions}: prints how the decisions do under load beside the baselines. */
public final class DecisionBench {

  private static final List<Double> LOADS = List.of(0.5, 0.9, 1.2, 3.0);
  private static final double SECONDS = 300;
  private static final double QUICK_SECONDS = 90;
  private static final long DEFAULT_SEED = 1;

  private DecisionBench() {}

  static Map<String, Dispatcher.Factory> policies() {
    BrokeredOptions own = BrokeredOptions.OWN;
    Map<String, Dispatcher.Factory> policies = new LinkedHashMap<>();
    policies.put("own", BrokeredDispatcher.factory(own));
    policies.put("fifo-no-tiers", BrokeredDispatcher.factory(own.withoutTiers()));
    policies.put("no-prefixes", BrokeredDispatcher.factory(own.withoutPrefixes()));
    policies.put("round-robin", DirectDispatcher::roundRobin);
    policies.put("least-loaded", DirectDispatcher::leastLoaded);
    policies.put("random-two", DirectDispatcher::randomTwo);
    return policies;
  }

  /**
   * Runs the command.
   *
   * @param args flags {@code --seed N}, {@code --quick}
   * @return the exit status
   */
  public static int run(String[] args) {
    boolean quick = List.of(args).contains("--quick");
    long seed = DEFAULT_SEED;
    for (int index = 0; index + 1 < args.length; index++) {
      if (args[index].equals("--seed")) {
        seed = Long.parseLong(args[index + 1]);
      }
    }
    return run(seed, quick ? QUICK_SECONDS : SECONDS, List.of(args), System.out);
  }

  private static int run(long seed, double seconds, List<String> args, PrintStream out) {
    Calibration calibration = new Calibration(seed);
    Experiment experiment = new Experiment(seed, calibration);
    for (WorkloadKind kind : WorkloadKind.values()) {
      out.printf(Locale.ROOT, "%n%s capacity %.3f%n", kind, calibration.capacity(kind));
      kind.engines().forEach(e -> out.printf(Locale.ROOT, "%.3f ", calibration.capacity(kind, e)));
      out.println();
      header(out);
      for (Scenario scenario : scenarios(kind, seconds)) {
        policies()
            .forEach(
                (name, factory) -> {
                  if (args.contains("--own") && !name.equals("own")) {
                    return;
                  }
                  row(out, experiment.run(scenario, name, factory), args.contains("--reasons"));
                });
      }
    }
    return 0;
  }

  private static List<Scenario> scenarios(WorkloadKind kind, double seconds) {
    if (Boolean.getBoolean("x3")) {
      return List.of(new Scenario(kind, 3.0, seconds, Scenario.Fault.NONE));
    }
    List<Scenario> scenarios = new ArrayList<>();
    for (double load : LOADS) {
      scenarios.add(new Scenario(kind, load, seconds, Scenario.Fault.NONE));
    }
    scenarios.add(new Scenario(kind, 0.9, seconds, Scenario.Fault.BURST));
    scenarios.add(new Scenario(kind, 0.9, seconds, Scenario.Fault.SLOW_ENGINE));
    scenarios.add(new Scenario(kind, 0.9, seconds, Scenario.Fault.ENGINE_DIES));
    scenarios.add(new Scenario(kind, 0.9, seconds, Scenario.Fault.ENTRY_DIES));
    return scenarios;
  }

  private static void header(PrintStream out) {
    out.println(
        "scenario                     policy         good0  good1  good2  good3  total  wasted"
            + "  cached ttft50 ttft95 ttft0-95 gap50 gap95 slowest inv");
  }

  private static void row(PrintStream out, RunResult result, boolean reasons) {
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
    if (reasons) {
      out.println("    " + result.tally().reasons());
    }
  }
}
