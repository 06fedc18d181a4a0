package io.samphiredyke.soak;

import com.google.common.flogger.FluentLogger;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A process that this program started: its output goes to a file and to a reader, signals go to its
 * id.
 */
final class ChildProcess {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest wait for the end of a process after SIGKILL, seconds. */
  private static final int KILL_WAIT_SECONDS = 10;

  /** Processes that must not outlive this one. */
  private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
  }

  private final String name;
  private final Process process;
  private final Thread reader;
  private volatile boolean endIsExpected;

  private ChildProcess(String name, Process process, Path output, Consumer<String> lines) {
    this.name = name;
    this.process = process;
    STARTED.add(process);
    process.onExit().thenAccept(STARTED::remove);
    this.reader = new Thread(() -> read(output, lines), "output-" + name);
    reader.setDaemon(true);
    reader.start();
  }

  /**
   * Starts a process.
   *
   * @param environment variables on top of this process's own
   * @param output file to which its output is appended
   * @param lines receives each line of its output, on another thread
   */
  static ChildProcess start(
      String name,
      List<String> command,
      Map<String, String> environment,
      Path output,
      Consumer<String> lines) {
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().putAll(environment);
    try {
      return new ChildProcess(name, builder.start(), output, lines);
    } catch (IOException e) {
      throw new UncheckedIOException("can't start " + name, e);
    }
  }

  private void read(Path output, Consumer<String> lines) {
    try (BufferedReader in = process.inputReader(StandardCharsets.UTF_8);
        BufferedWriter out =
            Files.newBufferedWriter(output, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
      String line = in.readLine();
      while (line != null) {
        out.write(line);
        out.newLine();
        lines.accept(line);
        line = in.readLine();
      }
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("output of %s ended", name);
    }
  }

  String name() {
    return name;
  }

  boolean isRunning() {
    return process.isAlive();
  }

  /** Returns whether it ended though nobody asked for it. */
  boolean endedByItself() {
    return !process.isAlive() && !endIsExpected;
  }

  int exitCode() {
    return process.exitValue();
  }

  /** Writes a line to its standard input. */
  void command(String line) {
    try {
      OutputStreamWriter in =
          new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8);
      in.write(line + "\n");
      in.flush();
    } catch (IOException e) {
      logger.atInfo().log("%s takes no commands: %s", name, e.getMessage());
    }
  }

  /** Sends a signal by its name, such as {@code STOP}. */
  void signal(String signal) {
    if (signal.equals("TERM") || signal.equals("KILL")) {
      endIsExpected = true;
    }
    if (!process.isAlive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException("can't signal " + name, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Marks its end as planned, for a process that leaves on a command. */
  void expectEnd() {
    endIsExpected = true;
  }

  /** Ends it at once and waits until it and its output are gone. */
  void kill() {
    endIsExpected = true;
    process.destroyForcibly();
    await(KILL_WAIT_SECONDS);
  }

  /** Waits for its end; returns whether it came in time. */
  boolean await(int seconds) {
    try {
      boolean ended = process.waitFor(seconds, TimeUnit.SECONDS);
      if (ended) {
        reader.join(TimeUnit.SECONDS.toMillis(KILL_WAIT_SECONDS));
      }
      return ended;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
