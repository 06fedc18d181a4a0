package io.samphiredyke.soak;

import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** The command {@code soak}: plays one seed or many, one after the other. */
public final class SoakMain {

  private static final int BAD_USAGE = 2;
  private static final int SECONDS_PER_MINUTE = 60;
  private static final double DEFAULT_MINUTES = 0.5;

  private SoakMain() {}

  /** Plays seeds; the exit code is 0 if no promise was broken. */
  public static void main(String[] arguments) {
    ArgumentParser parser = parser();
    try {
      Namespace values = parser.parseArgs(arguments);
      System.exit(play(values) ? 0 : 1);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(BAD_USAGE);
    }
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("soak")
            .build()
            .description("Runs gateways as processes under faults and checks the promises.");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("first seed");
    parser.addArgument("--seeds").type(Integer.class).setDefault(1).help("how many seeds");
    parser
        .addArgument("--minutes")
        .type(Double.class)
        .setDefault(DEFAULT_MINUTES)
        .help("length of the plan of each seed");
    parser.addArgument("--hosts").type(Integer.class).setDefault(4).help("gateways, 3 or more");
    parser.addArgument("--endpoints").type(Integer.class).setDefault(6).help("2 or more");
    parser.addArgument("--callers").type(Integer.class).setDefault(12);
    parser.addArgument("--network").type(Integer.class).setDefault(0).help("of runs side by side");
    parser.addArgument("--gateway").setDefault("target/gateway.jar").help("program to run");
    parser.addArgument("--logs").setDefault("run/soak").help("where logs are kept");
    return parser;
  }

  private static boolean play(Namespace values) {
    boolean isGreen = true;
    for (int i = 0; i < values.getInt("seeds"); i++) {
      SoakOptions options =
          new SoakOptions(
              values.getLong("seed") + i,
              (int) Math.round(values.getDouble("minutes") * SECONDS_PER_MINUTE),
              Math.max(3, values.getInt("hosts")),
              Math.max(2, values.getInt("endpoints")),
              values.getInt("callers"),
              Path.of(values.getString("gateway")),
              Path.of(values.getString("logs")),
              values.getInt("network"));
      List<String> lines = SoakRun.of(options).lines();
      lines.forEach(System.out::println);
      isGreen &= lines.size() == 1;
    }
    return isGreen;
  }
}
