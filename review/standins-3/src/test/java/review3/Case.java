package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/** What the cases share: the record, the addresses and the verdict. */
final class Case implements AutoCloseable {

  final Path directory;
  final String prefix;
  final boolean hasTrouble;
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();
  private volatile boolean isStopped;
  private final List<AutoCloseable> parts = new ArrayList<>();

  /** Creates a case that writes its record into a folder. */
  Case(String folder) throws IOException {
    directory = Files.createTempDirectory("review3");
    Random random = new Random();
    prefix = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
    hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")));
    Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    say("disruption: " + (hasTrouble ? "yes" : "no"));
  }

  /** Adds what has to be ended with the case, and returns it. */
  <T extends AutoCloseable> T add(T part) {
    parts.add(part);
    return part;
  }

  /** Writes a line with the time since the start into the record. */
  synchronized void say(String line) {
    record.printf(Locale.ROOT, "%7.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line);
    record.flush();
  }

  /** Ends all parts when this process is told to end, without a verdict. */
  private void stop() {
    isStopped = true;
    close();
    Runtime.getRuntime().halt(2);
  }

  /** Ends this process with the verdict. */
  void end(boolean isBroken, String verdict) {
    if (isStopped) {
      return;
    }
    say((isBroken ? "BROKEN: " : "held: ") + verdict);
    System.out.println((isBroken ? "BROKEN: " : "held: ") + verdict);
    close();
    Runtime.getRuntime().halt(isBroken ? 1 : 0);
  }

  /** Ends this process because the case couldn't run. */
  void fail(Throwable cause) {
    if (isStopped) {
      return;
    }
    say("couldn't run: " + cause);
    System.out.println("couldn't run: " + cause);
    close();
    Runtime.getRuntime().halt(2);
  }

  @Override
  public void close() {
    for (AutoCloseable part : parts) {
      try {
        part.close();
      } catch (Exception e) {
        // It has ended already.
      }
    }
    record.close();
    try (var files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(directory);
    } catch (IOException e) {
      // The temporary folder stays.
    }
  }
}
