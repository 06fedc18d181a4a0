package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Clients send requests with bodies of 500 kB to one gateway, 40 at a time; for 2.5 s twice as many
 * come. Servers answer after three seconds.
 */
final class BurstOfBodies extends Case {

  private static final int USUAL_CLIENTS = 40;
  private static final int BURST_CLIENTS = 44;
  private static final int BURST_MILLIS = 2_500;
  private static final int BODY_BYTES = 500_000;
  private static final int RUNNERS = 3;
  private static final int SLOTS = 30;
  private static final int WORK_MILLIS = 3_000;
  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int DEADLINE_MILLIS = 8_000;
  private static final int BURST_AT_MILLIS = 8_000;
  private static final int LENGTH_MILLIS = 22_000;

  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final Map<String, Integer> results = new TreeMap<>();

  /** Milliseconds from sending to the end of each request; negative if it had no answer. */
  private final List<Long> durations = new CopyOnWriteArrayList<>();

  private long until;

  private boolean answer(Net.Head head, byte[] body, Socket socket, OutputStream out)
      throws IOException {
    String id = head.header("X-Samphiredyke-Request-Id");
    ran.add(id);
    sleep(WORK_MILLIS);
    Runner.answer(head, out, 200, Net.bytes("done " + id));
    return true;
  }

  private void send(Gateway gateway, String name, int requests) {
    Socket client = null;
    byte[] body = new byte[BODY_BYTES];
    for (int i = 0; i < requests && System.nanoTime() < until; i++) {
      String id = name + "-" + i;
      long startedAt = System.nanoTime();
      String result;
      boolean isAnswered = false;
      try {
        if (client == null) {
          client = new Socket();
          client.connect(gateway.frontend(), 1_000);
        }
        client.setSoTimeout(DEADLINE_MILLIS);
        OutputStream out = client.getOutputStream();
        Net.write(
            out,
            request(
                "POST",
                "/register/2f",
                id,
                DEADLINE_MILLIS,
                "Content-Length: " + BODY_BYTES + "\r\n"));
        out.write(body);
        out.flush();
        Net.Response response =
            Net.readResponse(new BufferedInputStream(client.getInputStream()));
        isAnswered = response.complete;
        result = response.complete ? "" + response.head.status() : response.end;
      } catch (IOException e) {
        result = String.valueOf(e.getMessage());
      }
      long millis = (System.nanoTime() - startedAt) / 1_000_000;
      durations.add(isAnswered ? millis : -millis);
      note("client: " + id + " " + result + " after " + millis + " ms, ran " + ran.contains(id));
      synchronized (results) {
        results.merge(result + (ran.contains(id) ? ", ran" : ", not run"), 1, Integer::sum);
      }
      if (!isAnswered && client != null) {
        try {
          client.close();
        } catch (IOException e) {
          // It is closed anyway.
        }
        client = null;
      }
    }
  }

  @Override
  boolean play(Path temporary) throws Exception {
    int unready = 0;
    List<Runner> runners = new ArrayList<>();
    try (Store store = new Store("127.0.0.1")) {
      configure(
          store, 1, route("register", "unsafe", "registry", TIMEOUT_MILLIS, 4_000, 1));
      for (int i = 0; i < RUNNERS; i++) {
        runners.add(new Runner(store, "127.0.0.1", "i-" + i, "registry", SLOTS, this::answer));
      }
      try (Gateway gateway =
          Gateway.start(temporary, "gateway-1", "127.0.0.1", store.address())) {
        until = System.nanoTime() + LENGTH_MILLIS * 1_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
          String name = "usual-" + i;
          threads.add(new Thread(() -> send(gateway, name, Integer.MAX_VALUE)));
        }
        for (Thread thread : List.copyOf(threads)) {
          thread.start();
          sleep(40);
        }
        sleep(BURST_AT_MILLIS - 40 * USUAL_CLIENTS);
        if (TROUBLE) {
          note("clients: burst");
          for (int i = 0; i < BURST_CLIENTS; i++) {
            String name = "burst-" + i;
            Thread thread = new Thread(() -> send(gateway, name, 1));
            threads.add(thread);
            thread.start();
            sleep(BURST_MILLIS / BURST_CLIENTS);
          }
        }
        while (System.nanoTime() < until) {
          boolean isReady = gateway.isReady(1_000);
          if (!isReady) {
            unready++;
            note("platform: the gateway does not answer the readiness probe within 1 s");
          }
          sleep(isReady ? 1_000 : 1);
        }
        for (Thread thread : threads) {
          thread.join(DEADLINE_MILLIS + 2_000);
        }
        note("the process " + (gateway.process.isAlive() ? "runs" : "has ended"));
      }
    }
    int due = 0;
    int unanswered = 0;
    for (long millis : durations) {
      if (Math.abs(millis) >= TIMEOUT_MILLIS) {
        due++;
        unanswered += Math.abs(millis) > TIMEOUT_MILLIS + 500 ? 1 : 0;
      }
    }
    note("results " + results + "; readiness probes without an answer " + unready);
    note(
        "still unanswered at TimeoutMs "
            + due
            + ", of these without an answer half a second later "
            + unanswered);
    return unanswered < 8 || unanswered * 2 <= due;
  }

  public static void main(String[] arguments) {
    run(new BurstOfBodies(), arguments);
  }
}
