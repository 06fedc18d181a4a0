package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.cli.files.ConfigurationFiles;
import io.samphiredyke.cli.files.FileCollector;
import io.samphiredyke.cli.files.FileFinding;
import io.samphiredyke.cli.publish.ConfigurationLog;
import io.samphiredyke.cli.publish.HttpCalls;
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
 * The flags and means of a sub-command.
 *
 * @param flags the parsed flags
 * @param out takes results
 * @param err takes messages
 * @param calls the HTTP calls
 * @param clock the time of day
 */
public record CommandContext(
    Namespace flags, PrintStream out, PrintStream err, HttpCalls calls, Clock clock) {

  /** Returns a flag's text, null if it was not given. */
  @Nullable String text(String flag) {
    return flags.getString(flag);
  }

  /** Returns a flag that must have been given. */
  String required(String flag) throws CommandException {
    String value = text(flag);
    if (value == null || value.isBlank()) {
      String name = flag.replace('_', '-');
      throw new CommandException(
          ExitCode.USAGE,
          "--" + name + " is required; give the flag or set " + CommandLine.environmentName(name));
    }
    return value;
  }

  /** Returns how long to wait for an answer or outcome. */
  Duration timeout() {
    return Duration.ofSeconds(flags.getInt("timeout_seconds"));
  }

  /** Returns the configuration stream named by the flags. */
  ConfigurationLog log() throws CommandException {
    return new HttpConfigurationLog(
        calls,
        Addresses.parse("--log", required("log")),
        required("stream"),
        Duration.ofSeconds(5));
  }

  /** Collects the files named by the flags and prints the findings. */
  ConfigurationFiles files(Configuration inForce) {
    List<Path> paths = flags.<String>getList("paths").stream().map(Path::of).toList();
    ConfigurationFiles files = FileCollector.collect(paths, inForce);
    for (FileFinding finding : files.findings()) {
      err.println(finding);
    }
    return files;
  }
}
