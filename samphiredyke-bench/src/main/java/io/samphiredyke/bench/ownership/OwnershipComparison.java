package io.samphiredyke.bench.ownership;

import io.samphiredyke.core.invariant.InvariantChecker;
import java.util.Random;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;

/**
 * Compares three protocols for at-most-once dispatch: registers in a chain of three members,
 * intents on a log with group commits, and hash-based ownership with leases.
 *
 * <p>The chain runs the production state machines and registers; the other two are simplified
 * models. No real time passes: all times are drawn from a seeded random generator.
 */
public final class OwnershipComparison {

  private static final long DEFAULT_SEED = 1;
  private static final int REQUESTS_PER_FAULT = 200_000;
  private static final int LATENCY_SAMPLES = 1_000_000;
  private static final double ONE_WAY_MICROS = 500;
  private static final double JITTER_MICROS = 50;
  private static final double APPENDS_PER_SECOND = 400;
  private static final double RUN_SECONDS = 60;
  private static final double LOST_RESPONSE_RATE = 0.01;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double PERCENT = 100;

  private OwnershipComparison() {}

  /**
   * Runs the comparison and prints the results as Markdown tables.
   *
   * @param args optional random seed
   * @return the exit status: 1 if the chain executed a request twice or reported an executed
   *     request as not executed
   */
  public static int run(String[] args) {
    long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
    System.out.println("seed " + seed + "\n");
    printLatency(new Random(seed));
    return printFaults(seed) ? 0 : 1;
  }

  private static void printLatency(RandomGenerator random) {
    System.out.println("| way | hosts | requests/s | median ms | p99 ms |");
    System.out.println("|---|---|---|---|---|");
    print("chain of three", 6, 300, chainLatency(random));
    print("chain of three", 340, 18_000, chainLatency(random));
    for (double lost : new double[] {0, LOST_RESPONSE_RATE}) {
      String name = "log, " + lost * PERCENT + " % answers lost";
      print(
          name,
          6,
          300,
          new GroupCommitModel(6, 300, APPENDS_PER_SECOND, lost, random).run(RUN_SECONDS));
      print(
          name,
          6,
          18_000,
          new GroupCommitModel(6, 18_000, APPENDS_PER_SECOND, lost, random).run(RUN_SECONDS));
      print(
          name,
          340,
          18_000,
          new GroupCommitModel(340, 18_000, APPENDS_PER_SECOND, lost, random).run(RUN_SECONDS));
    }
    System.out.println("| hash with leases | any | any | 0 | 0 |\n");
  }

  private static Histogram chainLatency(RandomGenerator random) {
    Histogram latencies = new Histogram(3);
    for (int i = 0; i < LATENCY_SAMPLES; i++) {
      double jitter = (random.nextExponential() + random.nextExponential()) * JITTER_MICROS;
      latencies.recordValue((long) (2 * ONE_WAY_MICROS + jitter));
    }
    return latencies;
  }

  private static void print(String name, int hosts, int rate, Histogram latencies) {
    System.out.printf(
        "| %s | %d | %d | %.2f | %.2f |%n",
        name,
        hosts,
        rate,
        latencies.getValueAtPercentile(50) / MICROS_PER_MILLI,
        latencies.getValueAtPercentile(99) / MICROS_PER_MILLI);
  }

  private static boolean printFaults(long seed) {
    InvariantChecker invariants = InvariantChecker.throwing();
    boolean isSafe = true;
    System.out.println(
        "| fault | way | doubled | false not run | unknown % | stalled % | messages |");
    System.out.println("|---|---|---|---|---|---|---|");
    for (OwnershipFault fault : OwnershipFault.values()) {
      FaultCounts chain = new FaultCounts();
      BiFunction<OwnershipFault, RequestStage, FaultOutcome> simulation =
          (injected, stage) -> {
            ChainSimulation run = new ChainSimulation(injected, stage, invariants);
            FaultOutcome outcome = run.run();
            chain.messages += run.messages();
            return outcome;
          };
      count(fault, seed, chain, simulation);
      isSafe &= chain.doubled == 0 && chain.falseNotRun == 0;
      print(fault, "chain", chain);
      FaultCounts log = new FaultCounts();
      count(fault, seed, log, AlternativeModels::runWithLog);
      print(fault, "log", log);
      FaultCounts lease = new FaultCounts();
      count(fault, seed, lease, AlternativeModels::runWithLease);
      print(fault, "lease", lease);
    }
    System.out.println("\nchecks of invariants: " + invariants.checks());
    return isSafe;
  }

  private static void count(
      OwnershipFault fault,
      long seed,
      FaultCounts counts,
      BiFunction<OwnershipFault, RequestStage, FaultOutcome> simulation) {
    RandomGenerator random = new Random(seed);
    for (int i = 0; i < REQUESTS_PER_FAULT; i++) {
      FaultOutcome outcome = simulation.apply(fault, RequestStage.random(random));
      counts.doubled += outcome.executions() > 1 ? 1 : 0;
      counts.falseNotRun += outcome.falseNotRun() ? 1 : 0;
      counts.unknown += outcome.unknown() ? 1 : 0;
      counts.stalled += outcome.stalled() ? 1 : 0;
    }
  }

  private static void print(OwnershipFault fault, String protocol, FaultCounts counts) {
    System.out.printf(
        "| %s | %s | %d | %d | %.3f | %.3f | %s |%n",
        fault.title(),
        protocol,
        counts.doubled,
        counts.falseNotRun,
        counts.unknown * PERCENT / REQUESTS_PER_FAULT,
        counts.stalled * PERCENT / REQUESTS_PER_FAULT,
        protocol.equals("chain")
            ? String.format("%.2f", (double) counts.messages / REQUESTS_PER_FAULT)
            : "-");
  }

  private static final class FaultCounts {
    private int doubled;
    private int falseNotRun;
    private int unknown;
    private int stalled;
    private long messages;
  }
}
