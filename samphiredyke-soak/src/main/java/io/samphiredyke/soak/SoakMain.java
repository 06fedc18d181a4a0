package io.samphiredyke.soak;

import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** The command {@code soak}: runs one or more seeds, one after the other. */
public final class SoakMain {

  private static final int EXIT_USAGE = 2;
  private static final int SECONDS_PER_MINUTE = 60;
  private static final double DEFAULT_MINUTES = 0.5;

  private SoakMain() {}

  /** Runs the seeds; the exit code is 0 if no run has findings. */
  public static void main(String[] arguments) {
    ArgumentParser parser = parser();
    try {
      Namespace flags = parser.parseArgs(arguments);
      System.exit(runSeeds(flags) ? 0 : 1);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(EXIT_USAGE);
    }
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("soak")
            .build()
            .description("Runs gateways as processes, injects faults and checks the guarantees.");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("first seed");
    parser.addArgument("--seeds").type(Integer.class).setDefault(1).help("number of seeds");
    parser
        .addArgument("--minutes")
        .type(Double.class)
        .setDefault(DEFAULT_MINUTES)
        .help("length of the fault plan of each seed");
    parser
        .addArgument("--hosts")
        .type(Integer.class)
        .setDefault(4)
        .help("number of gateways, at least 3");
    parser
        .addArgument("--endpoints")
        .type(Integer.class)
        .setDefault(6)
        .help("number of endpoints, at least 2");
    parser.addArgument("--callers").type(Integer.class).setDefault(12);
    parser
        .addArgument("--network")
        .type(Integer.class)
        .setDefault(0)
        .help("number of this run among parallel runs");
    parser
        .addArgument("--gateway")
        .setDefault("target/gateway.jar")
        .help("JAR file of the gateway");
    parser
        .addArgument("--gateway-before")
        .help("JAR file of an earlier build: hosts begin with it and are replaced in turn");
    parser
        .addArgument("--endpoint-faults")
        .setDefault("")
        .help("faults of endpoints, such as COPIES,BREAKS, or ALL; no other faults are injected");
    parser.addArgument("--logs").setDefault("run/soak").help("directory for logs");
    return parser;
  }

  private static boolean runSeeds(Namespace flags) {
    String faults = flags.getString("endpoint_faults");
    if (faults.equals("ALL")) {
      faults = EndpointFaultsRun.allFaults();
    }
    boolean hasFaults = !faults.isEmpty();
    boolean allPassed = true;
    String gateway = flags.getString("gateway");
    String before = flags.getString("gateway_before");
    for (int i = 0; i < flags.getInt("seeds"); i++) {
      SoakOptions options =
          new SoakOptions(
              flags.getLong("seed") + i,
              (int) Math.round(flags.getDouble("minutes") * SECONDS_PER_MINUTE),
              hasFaults ? flags.getInt("hosts") : Math.max(3, flags.getInt("hosts")),
              Math.max(2, flags.getInt("endpoints")),
              flags.getInt("callers"),
              Path.of(gateway),
              Path.of(flags.getString("logs")),
              flags.getInt("network"),
              faults,
              Path.of(before == null ? gateway : before));
      allPassed &= hasFaults ? runEndpointFaults(options) : runFaults(options);
    }
    return allPassed;
  }

  private static boolean runFaults(SoakOptions options) {
    SoakResult result = SoakRun.run(options);
    result.lines().forEach(System.out::println);
    return result.findings().isEmpty();
  }

  private static boolean runEndpointFaults(SoakOptions options) {
    EndpointFaultsResult result = EndpointFaultsRun.run(options);
    result.summary().forEach(System.out::println);
    return result.findings().isEmpty();
  }
}
