package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the cases share: the record, the folder for temporary files and the exit codes. */
abstract class Case {

  /** Whether the disruption of the case happens. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  private static final long STARTED = System.nanoTime();
  private PrintWriter record;

  /** Name of the services and routes of all cases. */
  static final String HOST = "samphire.example";

  static final String KEY = "key-of-customer";

  /** Plays the case; returns whether the rule held. */
  abstract boolean play(Path temporary) throws Exception;

  static void run(Case instance, String[] arguments) {
    int exit;
    try (PrintWriter writer =
        new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0], "record.txt")))) {
      instance.record = writer;
      instance.note("TROUBLE=" + (TROUBLE ? 1 : 0));
      Path temporary = Files.createTempDirectory("samphiredyke-review");
      boolean held = instance.play(temporary);
      instance.note(held ? "RESULT the rule held" : "RESULT the rule was broken");
      exit = held ? 0 : 1;
    } catch (Throwable e) {
      e.printStackTrace();
      exit = 2;
    }
    Runtime.getRuntime().exit(exit);
  }

  /** Writes a line to the record and to standard output. */
  synchronized void note(String line) {
    String text =
        String.format("%8.3f %s", (System.nanoTime() - STARTED) / 1e9, line.replace('\n', ' '));
    record.println(text);
    record.flush();
    System.out.println(text);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns a route of the operator's configuration. */
  static String route(String name, String kind, String service, int timeout, int target, int tries) {
    return String.format(
        "{\"Name\":\"%s\",\"Host\":\"%s\",\"PathPrefix\":\"/%s/\",\"Kind\":\"%s\",\"TimeoutMs\":%d,"
            + "\"TargetLatencyMs\":%d,\"TargetGapMs\":400,\"Priority\":1,\"Service\":\"%s\","
            + "\"MaxAttempts\":%d,\"Public\":false,\"Sticky\":false,\"Resumable\":%b}",
        name, HOST, name, kind, timeout, target, service, tries, tries > 1);
  }

  /** Writes a configuration with the limits of the users' pages and one tenant. */
  static void configure(Store store, int version, String... routes) throws IOException {
    store.put(
        "keyed.op",
        "config",
        "{\"Version\":"
            + version
            + ",\"Routes\":["
            + String.join(",", routes)
            + "],\"Services\":[{\"Name\":\"registry\",\"HealthPath\":\"/health\","
            + "\"MaxConnections\":96},{\"Name\":\"draftsmen\",\"HealthPath\":\"/health\","
            + "\"MaxConnections\":360,\"Engine\":{\"BatchSlots\":4,\"KvCapacity\":567369}}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
            + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"customer\",\"ApiKeys\":[\""
            + KEY
            + "\"],\"RatePerS\":0,\"Burst\":0}]}");
  }

  /** Returns the head of a client's request. */
  static String request(String method, String path, String id, int deadlineMillis, String more) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: "
        + HOST
        + "\r\nX-Samphiredyke-Request-Id: "
        + id
        + "\r\nX-Samphiredyke-Deadline-Ms: "
        + deadlineMillis
        + "\r\nAuthorization: Bearer "
        + KEY
        + "\r\n"
        + more
        + "\r\n";
  }
}
