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

/** Defines the flags of all sub-commands; each has a matching environment variable. */
public final class CommandLine {

  /** The name under which the parsed flags hold the {@link Command}. */
  public static final String COMMAND = "command";

  private static final String PROGRAM = "samphiredykectl";
  private static final String PREFIX = "SAMPHIREDYKE_";
  private static final int DEFAULT_TIMEOUT_SECONDS = 20;
  private static final int DEFAULT_HISTORY = 20;

  private final Map<String, String> environment;
  private final ArgumentParser parser;
  private final Subparsers commands;

  private CommandLine(Map<String, String> environment, String version) {
    this.environment = environment;
    this.parser =
        ArgumentParsers.newFor(PROGRAM)
            .build()
            .defaultHelp(true)
            .description("Drives a deployment of samphiredyke.")
            .epilog(
                "Exit codes: 0 done; 1 findings in files; 2 wrong flags; 3 conflict, rejected;"
                    + " 4 log unavailable, nothing published; 5 outcome unknown; 6 accepted but"
                    + " not yet in force everywhere; 7 no host answered, or refused; 8 not found;"
                    + " 9 output can't be written.")
            .version(PROGRAM + " " + version);
    this.parser.addArgument("--version").action(Arguments.version()).help("show the version");
    this.commands = parser.addSubparsers().title("commands").metavar("COMMAND");
  }

  /**
   * Returns the parser.
   *
   * @param environment the environment variables, from which flags take their defaults
   * @param version the version of the program
   */
  public static ArgumentParser parser(Map<String, String> environment, String version) {
    CommandLine line = new CommandLine(environment, version);
    line.addFileCommands();
    line.addHostCommands();
    line.addKeyCommands();
    return line.parser;
  }

  /**
   * Returns the environment variable of a flag.
   *
   * @param flag the flag without its dashes
   */
  static String environmentName(String flag) {
    return PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  private void addFileCommands() {
    Subparser check =
        command("check", "check short files and report every finding", CheckCommand::run);
    addPaths(check);
    addLog(check);

    Subparser diff = command("diff", "show what publishing would change", DiffCommand::run);
    addPaths(diff);
    addLog(diff);
    addPrune(diff);

    Subparser publish = command("publish", "put short files into force", PublishCommand::run);
    addPaths(publish);
    addLog(publish);
    addPrune(publish);
    addHosts(publish);
    addTimeout(publish);
    flag(publish, "author", "who publishes").setDefault(author());
    flag(publish, "base", "refuse if a changed item was published after this offset")
        .type(Long.class);
    publish
        .addArgument("--wait")
        .action(Arguments.storeTrue())
        .help("wait until the change is in force on all hosts");

    Subparser history =
        command(
            "history", "show the records of the log and what became of them", HistoryCommand::run);
    addLog(history);
    history
        .addArgument("item")
        .nargs("?")
        .help("the name of an item or the id of a record; all if left out");
    history
        .addArgument("--last")
        .type(Integer.class)
        .setDefault(DEFAULT_HISTORY)
        .help("how many records to show");
  }

  private void addHostCommands() {
    Subparser status = command("status", "show hosts, endpoints and queues", StatusCommand::run);
    addHosts(status);
    status.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");

    Subparser explain =
        command("explain", "show what the hosts know of a request", ExplainCommand::run);
    addHosts(explain);
    explain.addArgument("request_id").metavar("REQUEST_ID").help("the id of the request");

    Subparser trace =
        command("trace", "show what collected logs say of a request", TraceCommand::run);
    trace.addArgument("request_id").metavar("REQUEST_ID").help("the id of the request");
    trace.addArgument("log").metavar("LOG").nargs("+").help("a file with the lines of a host");

    Subparser drain = command("drain", "begin the planned stop of a host", DrainCommand::run);
    addHosts(drain);
    drain.addArgument("host").metavar("HOST").help("the address of the host, ip:port");
  }

  private void addKeyCommands() {
    Subparser key = commands.addParser("key").help("make API keys and their digests");
    Subparsers actions = key.addSubparsers().title("actions").metavar("ACTION");
    Command create = KeyCommand::create;
    actions.addParser("new").help("make a key and its digest").setDefault(COMMAND, create);
    Command digest = KeyCommand::digest;
    Subparser digestParser = actions.addParser("digest").help("show the digest of a key");
    digestParser.setDefault(COMMAND, digest);
    digestParser.addArgument("key").metavar("KEY").help("the key");
  }

  private Subparser command(String name, String help, Command command) {
    Subparser added = commands.addParser(name).help(help).description(help).defaultHelp(true);
    added.setDefault(COMMAND, command);
    return added;
  }

  private Argument flag(Subparser command, String name, String help) {
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
        .help("remove items in force that are not in the files");
  }

  private void addLog(Subparser command) {
    flag(command, "log", "the address of the log service, ip:port");
    Argument stream = flag(command, "stream", "the name of the configuration stream");
    if (!environment.containsKey(environmentName("stream"))) {
      stream.setDefault("samphiredyke-configuration");
    }
  }

  private void addHosts(Subparser command) {
    flag(command, "hosts", "the addresses of the hosts, ip:port,ip:port");
    flag(command, "host-list", "the address of the host list, ip:port, used without --hosts");
    flag(command, "admin-token", "the operators' token").setDefault(token());
  }

  private @Nullable String token() {
    return environment.get(environmentName("admin-token"));
  }

  private static void addTimeout(Subparser command) {
    command
        .addArgument("--timeout-seconds")
        .type(Integer.class)
        .setDefault(DEFAULT_TIMEOUT_SECONDS)
        .help("how long to wait for the outcome");
  }

  private String author() {
    String given = environment.get(environmentName("author"));
    return given != null ? given : System.getProperty("user.name", "unknown");
  }
}
