package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.cli.files.ConfigurationFileLoader;
import io.samphiredyke.cli.files.ConfigurationFiles;
import io.samphiredyke.cli.files.FileFinding;
import io.samphiredyke.cli.publish.BlockingHttpClient;
import io.samphiredyke.cli.publish.ConfigurationLog;
import io.samphiredyke.cli.publish.HttpConfigurationLog;
import io.samphiredyke.core.config.Configuration;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import org.jspecify.annotations.Nullable;

/**
 * The flags and resources of a subcommand.
 *
 * @param flags the parsed command line
 * @param out the stream for results
 * @param err the stream for messages
 * @param httpClient the HTTP client
 * @param clock the wall clock
 */
public record CommandContext(
    Namespace flags, PrintStream out, PrintStream err, BlockingHttpClient httpClient, Clock clock) {

  /** Returns the value of a flag, null if it was not given. */
  @Nullable String flag(String key) {
    return flags.getString(key);
  }

  /** Returns the value of a flag, or fails if it is missing or blank. */
  String requiredFlag(String key) throws CommandException {
    String value = flag(key);
    if (value == null || value.isBlank()) {
      String name = key.replace('_', '-');
      throw new CommandException(
          ExitCode.USAGE,
          "--"
              + name
              + " is required; give the flag or set "
              + CommandLineParser.environmentName(name));
    }
    return value;
  }

  /** Returns how long to wait for the outcome. */
  Duration timeout() {
    return Duration.ofSeconds(flags.getInt("timeout_seconds"));
  }

  /** Returns the configuration log named by the flags. */
  ConfigurationLog configurationLog() throws CommandException {
    return new HttpConfigurationLog(
        httpClient,
        AddressParser.parse("--log", requiredFlag("log")),
        requiredFlag("stream"),
        Duration.ofSeconds(5));
  }

  /** Loads the configuration files named by the flags and prints the findings. */
  ConfigurationFiles loadFiles(Configuration current) {
    List<Path> paths = flags.<String>getList("paths").stream().map(Path::of).toList();
    ConfigurationFiles files = ConfigurationFileLoader.load(paths, current);
    for (FileFinding finding : files.findings()) {
      err.println(finding);
    }
    return files;
  }
}
