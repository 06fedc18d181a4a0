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
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The only gateway is killed and starts again, while clients go on sending. For some seconds after
 * it is back, the server turns a few requests away with 503 and Retry-After.
 */
final class RefusalsAfterRestart extends Case {

  private static final int CLIENTS = 400;
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 10;
  private static final int DEADLINE_MILLIS = 8_000;
  private static final double SHED_SHARE = 0.3;
  private static final long SHED_MILLIS = 6_000;
  private static final long BEFORE_MILLIS = 8_000;
  private static final long DOWN_MILLIS = 1_000;
  private static final long RECOVER_MILLIS = 12_000;
  private static final long AFTER_MILLIS = 15_000;

  private volatile Gateway gateway;
  private volatile long shedUntil;
  private volatile String phase = "before";
  private volatile boolean isOver;
  private final AtomicInteger shed = new AtomicInteger();
  private final AtomicInteger runs = new AtomicInteger();
  private final Map<String, Map<String, Integer>> results = new TreeMap<>();

  private boolean answer(Net.Head head, byte[] body, Socket socket, OutputStream out)
      throws IOException {
    if (System.nanoTime() < shedUntil && Math.random() < SHED_SHARE) {
      shed.incrementAndGet();
      note("server: " + head.header("X-Samphiredyke-Request-Id") + " turned away, not run");
      Net.write(
          out,
          Runner.head(
              head,
              503,
              "X-Samphiredyke-Not-Executed: 1\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n"));
      return true;
    }
    runs.incrementAndGet();
    sleep(WORK_MILLIS);
    Runner.answer(head, out, 200, Net.bytes("status"));
    return true;
  }

  private void send(String name) {
    Socket client = null;
    BufferedInputStream in = null;
    for (int i = 0; !isOver; i++) {
      String id = name + "-" + i;
      String sentIn = phase;
      String result;
      long pauseMillis = 50;
      try {
        if (client == null) {
          client = new Socket();
          client.connect(gateway.frontend(), 1_000);
          client.setSoTimeout(DEADLINE_MILLIS + 1_000);
          in = new BufferedInputStream(client.getInputStream());
        }
        Net.write(
            client.getOutputStream(),
            request("GET", "/lookup/2f?" + id, id, DEADLINE_MILLIS, ""));
        Net.Response response = Net.readResponse(in);
        result = response.complete ? "" + response.head.status() : response.end;
        if (!response.complete || response.head.header("Connection").equals("close")) {
          client.close();
          client = null;
        }
        if (response.complete && response.head.status() != 200) {
          String retryAfter = response.head.header("Retry-After");
          pauseMillis =
              retryAfter.isEmpty() ? 300 : (long) (Double.parseDouble(retryAfter) * 1_000);
          result += " " + new String(response.body);
        }
      } catch (IOException e) {
        result = "no connection";
        client = null;
        pauseMillis = 300;
      }
      synchronized (results) {
        results.computeIfAbsent(sentIn, key -> new TreeMap<>()).merge(result, 1, Integer::sum);
      }
      sleep(Math.min(2_000, pauseMillis));
    }
  }

  private double servedShare(String name) {
    int served = 0;
    int all = 0;
    synchronized (results) {
      for (Map.Entry<String, Integer> entry : results.getOrDefault(name, Map.of()).entrySet()) {
        all += entry.getValue();
        served += entry.getKey().equals("200") ? entry.getValue() : 0;
      }
    }
    return all == 0 ? 0 : (double) served / all;
  }

  @Override
  boolean play(Path temporary) throws Exception {
    try (Store store = new Store("127.0.0.1")) {
      configure(store, 1, route("lookup", "safe", "registry", DEADLINE_MILLIS, 2_000, 2));
      try (Runner runner =
          new Runner(store, "127.0.0.1", "i-registry-1", "registry", SLOTS, this::answer)) {
        gateway = Gateway.start(temporary, "gateway-1", "127.0.0.1", store.address());
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
          String name = "look-" + i;
          threads.add(new Thread(null, () -> send(name), name, 256 * 1024));
        }
        threads.forEach(Thread::start);
        sleep(BEFORE_MILLIS);
        phase = "recovery";
        if (TROUBLE) {
          note("final fault: the gateway is killed");
          gateway.close();
          sleep(DOWN_MILLIS);
          gateway = gateway.startAgain();
          note("the gateway is back and ready");
          shedUntil = System.nanoTime() + SHED_MILLIS * 1_000_000;
        }
        sleep(RECOVER_MILLIS);
        phase = "recovered";
        int ranBefore = runs.get();
        sleep(AFTER_MILLIS);
        note("the server ran " + (runs.get() - ranBefore) + " requests in the last period");
        phase = "end";
        isOver = true;
        for (Thread thread : threads) {
          thread.join(DEADLINE_MILLIS + 3_000);
        }
        note("the process " + (gateway.process.isAlive() ? "runs" : "has ended"));
        gateway.close();
      }
    }
    note("requests turned away by the server " + shed.get());
    results.forEach((name, counts) -> note("sent in the period \"" + name + "\": " + counts));
    double before = servedShare("before");
    double after = servedShare("recovered");
    note(String.format("share served before %.3f, after RecoverS %.3f", before, after));
    return before < 0.25 || after >= 0.25;
  }

  public static void main(String[] arguments) {
    run(new RefusalsAfterRestart(), arguments);
  }
}
