package io.samphiredyke.standins;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.standins.engine.EngineOptions;
import io.samphiredyke.standins.engine.EngineSettings;
import io.samphiredyke.standins.engine.EngineStandIn;
import io.samphiredyke.standins.hosts.HostEntry;
import io.samphiredyke.standins.hosts.HostList;
import io.samphiredyke.standins.hosts.HostListStandIn;
import io.samphiredyke.standins.log.LogOptions;
import io.samphiredyke.standins.log.LogStandIn;
import io.samphiredyke.standins.plain.PlainSettings;
import io.samphiredyke.standins.plain.PlainStandIn;
import io.samphiredyke.standins.server.AbstractStandIn;
import io.samphiredyke.standins.server.StandInRuntime;
import io.samphiredyke.standins.weights.WeightSettings;
import io.samphiredyke.standins.weights.WeightStandIn;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Command-line parser of {@code samphiredyke-standin}. */
final class CommandLine {

  private static final String KIND = "kind";

  private final ArgumentParser parser =
      ArgumentParsers.newFor("samphiredyke-standin")
          .build()
          .defaultHelp(true)
          .description("Runs a lightweight stand-in for one external system.");

  CommandLine() {
    Subparsers kinds = parser.addSubparsers().dest(KIND).metavar("KIND");
    addEngine(kinds);
    addService(kinds);
    addLog(kinds);
    addHosts(kinds);
    addWeights(kinds);
  }

  /**
   * Parses the arguments.
   *
   * @throws ArgumentParserException if they are invalid or request help
   */
  StandInStarter parse(String... args) throws ArgumentParserException {
    Namespace flags = parser.parseArgs(args);
    try {
      return starter(flags);
    } catch (IllegalArgumentException e) {
      throw new ArgumentParserException(e.getMessage(), e, parser);
    }
  }

  /** Prints the parse error or the help text; returns whether help was requested. */
  boolean printError(ArgumentParserException failure) {
    parser.handleError(failure, new PrintWriter(System.err, true, StandardCharsets.UTF_8));
    return failure instanceof HelpScreenException;
  }

  private static StandInStarter starter(Namespace flags) {
    InetSocketAddress address = flags.get("address");
    return switch (flags.getString(KIND)) {
      case "engine" -> engine(flags, address);
      case "service" -> service(flags, address);
      case "log" -> log(flags, address);
      case "hosts" -> hosts(flags, address);
      case "weights" -> weights(flags, address);
      default -> throw new IllegalArgumentException("unknown kind " + flags.getString(KIND));
    };
  }

  private static StandInRuntime runtime() {
    return StandInRuntime.system(
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next());
  }

  private static CompletableFuture<String> startupMessage(
      String kind, CompletableFuture<? extends AbstractStandIn<?>> started) {
    return started.thenApply(standIn -> kind + " listens on " + standIn.address());
  }

  private static Subparser addKind(Subparsers kinds, String kind, String help) {
    Subparser subparser = kinds.addParser(kind).help(help).description(help).defaultHelp(true);
    subparser
        .addArgument("--address")
        .metavar("IP:PORT")
        .required(true)
        .type(FlagTypes::address)
        .help("the address to listen on; port 0 selects a free port");
    return subparser;
  }

  private static void addNameAndDataCentre(Subparser subparser, String name) {
    subparser.addArgument("--name").setDefault(name).help("the name in counts and state");
    subparser.addArgument("--data-centre").setDefault("dc1").help("the data centre");
  }

  private static void addEngine(Subparsers kinds) {
    Subparser engine = addKind(kinds, "engine", "a model engine");
    addNameAndDataCentre(engine, "engine");
    engine.addArgument("--model").action(Arguments.append()).help("NAME[@VERSION] loaded at start");
    engine.addArgument("--role").setDefault("mixed").help("role at start");
    addIntOption(engine, "--batch-limit", 16, "maximum number of concurrent sequences");
    addDoubleOption(engine, "--prefill-rate", 8_000, "tokens prefilled per second");
    addDoubleOption(
        engine, "--decode-rate", 50, "tokens generated per second by a batch of one sequence");
    addDoubleOption(
        engine,
        "--batch-slowdown",
        0.02,
        "fraction by which each additional sequence lengthens a step");
    addIntOption(engine, "--prefill-chunk", 512, "maximum number of tokens prefilled per step");
    addIntOption(engine, "--block-tokens", 16, "tokens per block of the prefix cache");
    addIntOption(engine, "--cache-blocks", 4_096, "maximum number of blocks in the prefix cache");
    addIntOption(engine, "--load-lag-millis", 1_000, "delay of load reports");
    addIntOption(engine, "--cache-event-lag-millis", 2_000, "delay of cache events");
    addDoubleOption(
        engine, "--cache-event-loss", 0.05, "fraction of cache events that is never published");
    addIntOption(
        engine,
        "--resume-window-millis",
        30_000,
        "how long a completion is kept while it is not read");
    addIntOption(
        engine, "--load-millis", 2_000, "how long loading a model takes without a weight store");
    engine
        .addArgument("--fence")
        .choices("check", "ignore")
        .setDefault("check")
        .help("whether orders with an old fencing number are refused");
    engine
        .addArgument("--early-stop")
        .action(Arguments.storeTrue())
        .help("completions stop by themselves between a quarter of max_tokens and max_tokens");
    engine
        .addArgument("--weights")
        .metavar("IP:PORT")
        .type(FlagTypes::address)
        .help("the weight store to load from");
  }

  private static StandInStarter engine(Namespace flags, InetSocketAddress address) {
    List<String> models = flags.getList("model");
    EngineOptions options =
        EngineOptions.builder()
            .batchLimit(flags.getInt("batch_limit"))
            .prefillRate(flags.getDouble("prefill_rate"))
            .decodeRate(flags.getDouble("decode_rate"))
            .batchSlowdown(flags.getDouble("batch_slowdown"))
            .prefillChunk(flags.getInt("prefill_chunk"))
            .blockTokens(flags.getInt("block_tokens"))
            .cacheBlocks(flags.getInt("cache_blocks"))
            .loadLag(millis(flags, "load_lag_millis"))
            .build();
    EngineSettings settings =
        EngineSettings.builder()
            .name(flags.getString("name"))
            .dataCentre(flags.getString("data_centre"))
            .options(options)
            .models(models == null ? List.of() : models)
            .role(flags.getString("role"))
            .checkFence(flags.getString("fence").equals("check"))
            .resumeWindow(millis(flags, "resume_window_millis"))
            .cacheEventLag(millis(flags, "cache_event_lag_millis"))
            .cacheEventLoss(flags.getDouble("cache_event_loss"))
            .earlyStop(flags.getBoolean("early_stop"))
            .loadTime(millis(flags, "load_millis"))
            .weightStore(flags.get("weights"))
            .build();
    return () -> startupMessage("engine", EngineStandIn.start(runtime(), address, settings));
  }

  private static void addService(Subparsers kinds) {
    Subparser service = addKind(kinds, "service", "a plain service");
    addNameAndDataCentre(service, "service");
    addIntOption(service, "--latency-millis", 20, "how long a call takes");
    addIntOption(service, "--concurrency", 8, "maximum number of concurrent calls");
  }

  private static StandInStarter service(Namespace flags, InetSocketAddress address) {
    PlainSettings settings =
        new PlainSettings(
            flags.getString("name"),
            flags.getString("data_centre"),
            millis(flags, "latency_millis"),
            flags.getInt("concurrency"));
    return () -> startupMessage("service", PlainStandIn.start(runtime(), address, settings));
  }

  private static void addLog(Subparsers kinds) {
    Subparser log = addKind(kinds, "log", "the append-only log");
    addIntOption(
        log, "--retention-records", 100_000, "maximum number of records retained per stream");
    addIntOption(log, "--retention-millis", 86_400_000, "how long a record is retained");
    addDoubleOption(log, "--appends-per-second", 300, "maximum number of appends per second");
  }

  private static StandInStarter log(Namespace flags, InetSocketAddress address) {
    LogOptions options =
        new LogOptions(
            flags.getInt("retention_records"),
            millis(flags, "retention_millis"),
            flags.getDouble("appends_per_second"));
    return () -> startupMessage("log", LogStandIn.start(runtime(), address, options));
  }

  private static void addHosts(Subparsers kinds) {
    Subparser hosts = addKind(kinds, "hosts", "the host list");
    hosts
        .addArgument("--file")
        .type(Arguments.fileType().verifyCanRead())
        .help("a JSON file in the form of GET /v1/hosts");
    hosts
        .addArgument("--host")
        .metavar("NAME,IP:PORT,KIND,DATA-CENTRE[,STATE]")
        .action(Arguments.append())
        .type(FlagTypes::host)
        .help("an additional host");
    addIntOption(hosts, "--lag-millis", 1_000, "how long a change takes to be published");
  }

  private static StandInStarter hosts(Namespace flags, InetSocketAddress address) {
    List<HostEntry> entries = new ArrayList<>();
    File file = flags.get("file");
    if (file != null) {
      entries.addAll(readHosts(file));
    }
    List<HostEntry> additional = flags.getList("host");
    if (additional != null) {
      entries.addAll(additional);
    }
    Duration lag = millis(flags, "lag_millis");
    return () -> startupMessage("hosts", HostListStandIn.start(runtime(), address, entries, lag));
  }

  private static List<HostEntry> readHosts(File file) {
    try {
      List<HostEntry> hosts = Json.read(Files.readAllBytes(file.toPath()), HostList.class).hosts();
      if (hosts == null) {
        throw new IllegalArgumentException(file + ": no member \"hosts\"");
      }
      return hosts;
    } catch (IOException e) {
      throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
    }
  }

  private static void addWeights(Subparsers kinds) {
    Subparser weights = addKind(kinds, "weights", "the weight store");
    addIntOption(weights, "--bytes-per-second", 50_000_000, "the total rate of all downloads");
    addIntOption(weights, "--bytes", 10_000_000, "the size of each model's weights");
  }

  private static StandInStarter weights(Namespace flags, InetSocketAddress address) {
    WeightSettings settings =
        new WeightSettings(flags.getInt("bytes_per_second"), flags.getInt("bytes"), Map.of());
    return () -> startupMessage("weights", WeightStandIn.start(runtime(), address, settings));
  }

  private static void addIntOption(Subparser parser, String flag, int defaultValue, String help) {
    parser.addArgument(flag).type(Integer.class).setDefault(defaultValue).help(help);
  }

  private static void addDoubleOption(
      Subparser parser, String flag, double defaultValue, String help) {
    parser.addArgument(flag).type(Double.class).setDefault(defaultValue).help(help);
  }

  private static Duration millis(Namespace flags, String name) {
    return Duration.ofMillis(flags.getInt(name));
  }
}
