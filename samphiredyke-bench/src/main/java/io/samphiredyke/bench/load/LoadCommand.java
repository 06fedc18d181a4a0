package io.samphiredyke.bench.load;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.jspecify.annotations.Nullable;

/** Command {@code load}: generates load, prints the results and verifies execution guarantees. */
public final class LoadCommand {

  /** Exit code: no execution guarantee was violated. */
  public static final int EXIT_CLEAN = 0;

  /** Exit code: an execution guarantee was violated. */
  public static final int EXIT_VIOLATED = 1;

  /** Exit code: a flag or the plan is invalid. */
  public static final int EXIT_USAGE = 2;

  private static final int THREADS = 3;

  private final LoadPlan plan;
  private final List<String> addresses;
  private final long seed;
  private final long settleMillis;

  private LoadCommand(LoadPlan plan, List<String> addresses, Namespace flags) {
    this.plan = plan;
    this.addresses = addresses;
    this.seed = flags.getLong("seed");
    this.settleMillis = flags.getLong("settle_millis");
  }

  /** Runs the command and returns the exit code. */
  public static int run(String[] args) {
    ArgumentParser parser = parser();
    try {
      Namespace flags = parser.parseArgs(args);
      LoadPlan loadedPlan = LoadPlan.read(Path.of(flags.getString("plan")));
      Integer requests = flags.getInt("requests");
      LoadPlan plan = requests == null ? loadedPlan : loadedPlan.withRequests(requests);
      List<String> addresses = List.of(flags.getString("addresses").split(","));
      LoadReport report = new LoadCommand(plan, addresses, flags).execute();
      System.out.print(LoadTable.format(report));
      writeJson(flags.getString("json"), report);
      return report.isClean() ? EXIT_CLEAN : EXIT_VIOLATED;
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return e instanceof net.sourceforge.argparse4j.helper.HelpScreenException
          ? EXIT_CLEAN
          : EXIT_USAGE;
    } catch (IOException | LoadPlanException | IllegalArgumentException e) {
      System.err.println("samphiredyke-bench load: " + e.getMessage());
      return EXIT_USAGE;
    }
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("samphiredyke-bench load")
            .build()
            .defaultHelp(true)
            .description("Generates open-loop load and verifies the outcomes.");
    parser
        .addArgument("--addresses")
        .metavar("IP:PORT[,...]")
        .required(true)
        .help("hosts from which clients obtain the address list");
    parser.addArgument("--plan").metavar("FILE").required(true).help("load plan in JSON");
    parser
        .addArgument("--seed")
        .type(Long.class)
        .setDefault(1L)
        .help("random seed of the schedule");
    parser
        .addArgument("--requests")
        .type(Integer.class)
        .help("number of requests, overrides the plan");
    parser
        .addArgument("--settle-millis")
        .type(Long.class)
        .setDefault(2000L)
        .help("delay between the last outcome and reading the endpoints' counts");
    parser
        .addArgument("--json")
        .metavar("FILE")
        .help("also write the results to this file as JSON");
    return parser;
  }

  private static void writeJson(@Nullable String file, LoadReport report) throws IOException {
    if (file != null) {
      Files.write(Path.of(file), Json.bytes(report));
    }
  }

  private LoadReport execute() {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    LoadRun run = new LoadRun(group, plan, addresses, LoadCommand::printProgress);
    HttpClient http = new HttpClient(group, HttpClientOptions.defaults().withConnectionReuse());
    try {
      Instant startTime = Instant.now();
      long startNanos = System.nanoTime();
      List<Observation> observations = run.start(Schedule.of(plan, seed)).join();
      double seconds = (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
      pause(settleMillis);
      return LoadReport.of(
          seed, startTime, seconds, observations, EndpointCounts.readAll(http, plan.endpoints()));
    } finally {
      run.close();
      http.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void printProgress(int percent) {
    System.err.println("progress " + percent);
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
