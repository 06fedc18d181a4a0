package io.samphiredyke.cli.command;

import java.util.Locale;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.jspecify.annotations.Nullable;

/** Defines the subcommands and their flags; a flag takes its default from the environment. */
public final class CommandLineParser {

  /** The key of the {@link Subcommand} in the parsed command line. */
  public static final String COMMAND = "command";

  private static final String PROGRAM = "samphiredykectl";
  private static final String ENVIRONMENT_PREFIX = "SAMPHIREDYKE_";
  private static final int DEFAULT_TIMEOUT_SECONDS = 20;
  private static final int DEFAULT_HISTORY_RECORDS = 20;

  private final Map<String, String> environment;
  private final ArgumentParser parser;
  private final Subparsers subparsers;

  private CommandLineParser(Map<String, String> environment, String version) {
    this.environment = environment;
    this.parser =
        ArgumentParsers.newFor(PROGRAM)
            .build()
            .defaultHelp(true)
            .description("Configures and inspects a samphiredyke deployment.")
            .epilog(
                "Exit codes: 0 success; 1 errors in files; 2 invalid command line; 3 change"
                    + " rejected; 4 log unavailable, nothing published; 5 outcome unknown; 6"
                    + " accepted but not yet in force on all hosts; 7 no host responded, or a host"
                    + " rejected the request; 8 not found; 9 output can't be written.")
            .version(PROGRAM + " " + version);
    this.parser.addArgument("--version").action(Arguments.version()).help("show the version");
    this.subparsers = parser.addSubparsers().title("commands").metavar("COMMAND");
  }

  /**
   * Creates the argument parser.
   *
   * @param environment the environment variables that give the defaults of flags
   * @param version the version of the program
   */
  public static ArgumentParser create(Map<String, String> environment, String version) {
    CommandLineParser builder = new CommandLineParser(environment, version);
    builder.addFileCommands();
    builder.addHostCommands();
    builder.addKeyCommands();
    return builder.parser;
  }

  /**
   * Returns the name of the environment variable that gives the default of a flag.
   *
   * @param flag the flag without its leading dashes
   */
  static String environmentName(String flag) {
    return ENVIRONMENT_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  private void addFileCommands() {
    Subparser check =
        addSubcommand(
            "check", "validate configuration files and report every finding", CheckCommand::run);
    addPaths(check);
    addLog(check);

    Subparser diff = addSubcommand("diff", "show what publishing would change", DiffCommand::run);
    addPaths(diff);
    addLog(diff);
    addPrune(diff);

    Subparser publish =
        addSubcommand("publish", "publish configuration files", PublishCommand::run);
    addPaths(publish);
    addLog(publish);
    addPrune(publish);
    addHosts(publish);
    addTimeout(publish);
    addFlag(publish, "author", "the author of the change").setDefault(defaultAuthor());
    addFlag(publish, "base", "fail if an item to change was published after this offset")
        .type(Long.class);
    publish
        .addArgument("--wait")
        .action(Arguments.storeTrue())
        .help("wait until the change is in force on all hosts");

    Subparser history =
        addSubcommand(
            "history", "show the records of the log and their outcomes", HistoryCommand::run);
    addLog(history);
    history
        .addArgument("item")
        .nargs("?")
        .help("the name of an item or the id of a record; default: all records");
    history
        .addArgument("--last")
        .type(Integer.class)
        .setDefault(DEFAULT_HISTORY_RECORDS)
        .help("how many records to show");
  }

  private void addHostCommands() {
    Subparser status =
        addSubcommand("status", "show hosts, endpoints and queues", StatusCommand::run);
    addHosts(status);
    status.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");

    Subparser explain =
        addSubcommand("explain", "show what the hosts know about a request", ExplainCommand::run);
    addHosts(explain);
    explain.addArgument("request_id").metavar("REQUEST_ID").help("the id of the request");

    Subparser trace = addSubcommand("trace", "show the log lines of a request", TraceCommand::run);
    trace.addArgument("request_id").metavar("REQUEST_ID").help("the id of the request");
    trace.addArgument("log").metavar("LOG").nargs("+").help("a log file of a host");

    Subparser drain =
        addSubcommand("drain", "start draining a host before it is stopped", DrainCommand::run);
    addHosts(drain);
    drain.addArgument("host").metavar("HOST").help("the address of the host, ip:port");
  }

  private void addKeyCommands() {
    Subparser key = subparsers.addParser("key").help("generate API keys and their digests");
    Subparsers actions = key.addSubparsers().title("actions").metavar("ACTION");
    Subcommand create = KeyCommand::create;
    actions.addParser("new").help("generate a key and its digest").setDefault(COMMAND, create);
    Subcommand digest = KeyCommand::digest;
    Subparser digestParser = actions.addParser("digest").help("print the digest of a key");
    digestParser.setDefault(COMMAND, digest);
    digestParser.addArgument("key").metavar("KEY").help("the key");
  }

  private Subparser addSubcommand(String name, String help, Subcommand command) {
    Subparser subparser = subparsers.addParser(name).help(help).description(help).defaultHelp(true);
    subparser.setDefault(COMMAND, command);
    return subparser;
  }

  private Argument addFlag(Subparser command, String name, String help) {
    Argument argument =
        command
            .addArgument("--" + name)
            .help(help + " (environment: " + environmentName(name) + ")");
    String value = environment.get(environmentName(name));
    return value == null ? argument : argument.setDefault(value);
  }

  private static void addPaths(Subparser command) {
    command
        .addArgument("paths")
        .metavar("DIR")
        .nargs("+")
        .help("directories to search for *.samphiredyke.yaml, or single files");
  }

  private static void addPrune(Subparser command) {
    command
        .addArgument("--prune")
        .action(Arguments.storeTrue())
        .help("delete items in force that are not in the files");
  }

  private void addLog(Subparser command) {
    addFlag(command, "log", "the address of the log service, ip:port");
    Argument stream = addFlag(command, "stream", "the name of the configuration stream");
    if (!environment.containsKey(environmentName("stream"))) {
      stream.setDefault("samphiredyke-configuration");
    }
  }

  private void addHosts(Subparser command) {
    addFlag(command, "hosts", "the addresses of the hosts, ip:port,ip:port");
    addFlag(
        command,
        "host-list",
        "the address of the host list, ip:port; used if --hosts is not given");
    addFlag(command, "admin-token", "the admin token of the hosts").setDefault(defaultAdminToken());
  }

  private @Nullable String defaultAdminToken() {
    return environment.get(environmentName("admin-token"));
  }

  private static void addTimeout(Subparser command) {
    command
        .addArgument("--timeout-seconds")
        .type(Integer.class)
        .setDefault(DEFAULT_TIMEOUT_SECONDS)
        .help("how long to wait for the outcome");
  }

  private String defaultAuthor() {
    String author = environment.get(environmentName("author"));
    return author != null ? author : System.getProperty("user.name", "unknown");
  }
}
