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
 * A child process whose output is copied to a file and passed on line by line, and which can be
 * sent signals.
 */
final class ChildProcess {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Maximum wait for the exit of a process after SIGKILL, and for the end of its output. */
  private static final int KILL_WAIT_SECONDS = 10;

  /** Running child processes; killed when this process exits. */
  private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> RUNNING.forEach(Process::destroyForcibly)));
  }

  private final String name;
  private final Process process;
  private final Thread reader;
  private volatile boolean isExitExpected;

  private ChildProcess(String name, Process process, Path output, Consumer<String> lines) {
    this.name = name;
    this.process = process;
    RUNNING.add(process);
    process.onExit().thenAccept(RUNNING::remove);
    this.reader = new Thread(() -> copyOutput(output, lines), "output-" + name);
    reader.setDaemon(true);
    reader.start();
  }

  /**
   * Starts a process.
   *
   * @param environment variables added to the environment of this process
   * @param output the file to which the output is appended
   * @param lines receives each line of the output, on a separate thread
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

  private void copyOutput(Path output, Consumer<String> lines) {
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
      logger.atWarning().withCause(e).log("reading the output of %s failed", name);
    }
  }

  String name() {
    return name;
  }

  boolean isRunning() {
    return process.isAlive();
  }

  /** Returns whether the process exited without being stopped by this program. */
  boolean exitedUnexpectedly() {
    return !process.isAlive() && !isExitExpected;
  }

  int exitCode() {
    return process.exitValue();
  }

  /** Writes a line to the standard input of the process. */
  void sendCommand(String line) {
    try {
      OutputStreamWriter in =
          new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8);
      in.write(line + "\n");
      in.flush();
    } catch (IOException e) {
      logger.atInfo().log("can't send a command to %s: %s", name, e.getMessage());
    }
  }

  /** Sends a signal, given by its name such as {@code STOP}. */
  void signal(String signal) {
    if (signal.equals("TERM") || signal.equals("KILL")) {
      isExitExpected = true;
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

  /** Marks the exit as expected, for a process that exits after a command. */
  void expectExit() {
    isExitExpected = true;
  }

  /** Kills the process; its output is read to the end. */
  void killWithoutWait() {
    isExitExpected = true;
    process.toHandle().destroyForcibly();
  }

  /** Kills the process and waits for its exit and the end of its output. */
  void kill() {
    isExitExpected = true;
    process.destroyForcibly();
    awaitExit(KILL_WAIT_SECONDS);
  }

  /** Waits for the exit of the process; returns whether it exited in time. */
  boolean awaitExit(int seconds) {
    try {
      boolean exited = process.waitFor(seconds, TimeUnit.SECONDS);
      if (exited) {
        reader.join(TimeUnit.SECONDS.toMillis(KILL_WAIT_SECONDS));
      }
      return exited;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
