package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Every ten seconds, a server turns a part of its requests away with 503 and Retry-After for 6.5 s,
 * and for 5 s of these sends 3 in 100 of its answers a second time, where the next answer on the
 * connection is expected.
 */
final class RepeatedRefusal extends Case {

  private static final double SHED_SHARE = 0.20;
  private static final double REPEATED_SHARE = 0.03;
  private static final long PERIOD_MILLIS = 10_000;
  private static final long SHED_MILLIS = 6_500;
  private static final long REPEAT_FROM_MILLIS = 1_000;
  private static final long REPEAT_UNTIL_MILLIS = 6_000;
  private static final long WORK_MILLIS = 10;
  private static final long LENGTH_MILLIS = 70_000;

  private final long startedAt = System.nanoTime();

  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<Socket, byte[]> repeated = new ConcurrentHashMap<>();
  private int answers;
  private int repeats;

  private static byte[] concat(byte[] head, byte[] body) {
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return all;
  }

  private long inPeriod() {
    return (System.nanoTime() - startedAt) / 1_000_000 % PERIOD_MILLIS;
  }

  private synchronized boolean shed() {
    if (inPeriod() > SHED_MILLIS) {
      return false;
    }
    return Math.random() < SHED_SHARE;
  }

  private synchronized boolean repeats() {
    long now = inPeriod();
    if (now < REPEAT_FROM_MILLIS || now > REPEAT_UNTIL_MILLIS) {
      return false;
    }
    answers++;
    return Math.random() < REPEATED_SHARE;
  }

  private boolean answer(Net.Head head, byte[] body, Socket socket, OutputStream out)
      throws IOException {
    String id = head.header("X-Samphiredyke-Request-Id");
    byte[] late = repeated.remove(socket);
    if (late != null) {
      note("server: second copy of its last answer on the connection, before the answer to " + id);
      out.write(late);
      out.flush();
    }
    byte[] answer;
    if (shed()) {
      note("server: " + id + " turned away, not run");
      answer =
          Net.bytes(
              Runner.head(
                  head,
                  503,
                  "X-Samphiredyke-Not-Executed: 1\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n"));
    } else {
      int run = runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
      note("server: " + id + " runs, run " + run);
      sleep(WORK_MILLIS);
      byte[] content = Net.bytes("done " + id);
      answer =
          concat(
              Net.bytes(Runner.head(head, 200, "Content-Length: " + content.length + "\r\n\r\n")),
              content);
    }
    if (repeats() && TROUBLE) {
      repeats++;
      repeated.put(socket, answer);
    }
    out.write(answer);
    out.flush();
    return true;
  }

  @Override
  boolean play(Path temporary) throws Exception {
    Map<String, Integer> results = new TreeMap<>();
    List<String> refused = new ArrayList<>();
    int twice = 0;
    int refusedButRun = 0;
    try (Store store = new Store("127.0.0.1")) {
      configure(store, 1, route("register", "unsafe", "registry", 4_000, 1_000, 1));
      try (Runner runner =
              new Runner(store, "127.0.0.1", "i-registry-1", "registry", 6, this::answer);
          Gateway gateway = Gateway.start(temporary, "gateway-1", "127.0.0.1", store.address());
          Socket client = new Socket()) {
        client.connect(gateway.frontend(), 1_000);
        client.setSoTimeout(10_000);
        BufferedInputStream in = new BufferedInputStream(client.getInputStream());
        long until = System.nanoTime() + LENGTH_MILLIS * 1_000_000;
        for (int i = 0; System.nanoTime() < until; i++) {
          String id = "reg-" + i;
          byte[] body = Net.bytes("warranty record " + i);
          note("client: " + id + " sent");
          client
              .getOutputStream()
              .write(
                  concat(
                      Net.bytes(
                          request(
                              "POST",
                              "/register/2f",
                              id,
                              4_000,
                              "Content-Length: " + body.length + "\r\n")),
                      body));
          Net.Response response = Net.readResponse(in);
          String result = response.complete ? "" + response.head.status() : response.end;
          note("client: " + id + " answered " + result);
          results.merge(result, 1, Integer::sum);
          if (!response.complete) {
            throw new IOException("the client's connection ended: " + response.end);
          }
          if (result.equals("503")) {
            refused.add(id);
          }
          sleep(1);
        }
        sleep(500);
      }
    }
    for (String id : refused) {
      if (runs.containsKey(id)) {
        refusedButRun++;
        note("REFUSED " + id + " was answered 503 and ran");
      }
    }
    for (Map.Entry<String, AtomicInteger> entry : runs.entrySet()) {
      if (entry.getValue().get() > 1) {
        twice++;
        note("TWICE " + entry.getKey() + " ran " + entry.getValue() + " times");
      }
    }
    note(
        "answers to the client "
            + results
            + "; answers repeated by the server "
            + repeats
            + " of "
            + answers
            + " in the windows"
            + "; unsafe requests run twice "
            + twice
            + "; answered 503 though run "
            + refusedButRun);
    return twice == 0 && refusedButRun == 0;
  }

  public static void main(String[] arguments) {
    run(new RepeatedRefusal(), arguments);
  }
}
