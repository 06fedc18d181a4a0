package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A gateway receives SIGTERM while requests that it has read wait for a slot at a server. */
final class StopWhileWaiting extends Case {

  private static final int SLOTS = 4;
  private static final int REQUESTS_BEFORE = 8;
  private static final int REQUESTS_AFTER = 4;
  private static final long WORK_MILLIS = 5_000;
  private static final int DEADLINE_MILLIS = 20_000;

  private final Map<String, Long> runs = new ConcurrentHashMap<>();
  private final List<String> lost = new CopyOnWriteArrayList<>();

  private boolean answer(Net.Head head, byte[] body, Socket socket, OutputStream out)
      throws IOException {
    String id = head.header("X-Samphiredyke-Request-Id");
    runs.put(id, System.nanoTime());
    note("server: " + id + " runs");
    sleep(WORK_MILLIS);
    Runner.answer(head, out, 200, Net.bytes("done " + id));
    return true;
  }

  private void send(Gateway gateway, String id) {
    try (Socket client = new Socket()) {
      client.connect(gateway.frontend(), 1_000);
      client.setSoTimeout(DEADLINE_MILLIS + 2_000);
      Net.write(
          client.getOutputStream(),
          request("GET", "/report/2f?" + id, id, DEADLINE_MILLIS, ""));
      note("client: " + id + " sent");
      Net.Response response = Net.readResponse(new BufferedInputStream(client.getInputStream()));
      note(
          "client: "
              + id
              + " "
              + (response.complete
                  ? response.head.status() + " " + new String(response.body)
                  : response.end));
      if (!response.complete && !runs.containsKey(id)) {
        lost.add(id);
      }
    } catch (IOException e) {
      note("client: " + id + " " + e);
    }
  }

  @Override
  boolean play(Path temporary) throws Exception {
    try (Store store = new Store("127.0.0.1")) {
      configure(store, 1, route("report", "safe", "registry", DEADLINE_MILLIS, 8_000, 2));
      try (Runner runner =
              new Runner(store, "127.0.0.1", "i-registry-1", "registry", SLOTS, this::answer);
          Gateway gateway = Gateway.start(temporary, "gateway-1", "127.0.0.1", store.address())) {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS_BEFORE + REQUESTS_AFTER; i++) {
          if (i == REQUESTS_BEFORE) {
            sleep(500);
            if (TROUBLE) {
              note("operator: SIGTERM");
              gateway.process.destroy();
            }
            sleep(1_000);
          }
          String id = "report-" + i;
          Thread thread = new Thread(() -> send(gateway, id));
          thread.start();
          clients.add(thread);
          sleep(50);
        }
        for (Thread thread : clients) {
          thread.join();
        }
      }
    }
    lost.forEach(id -> note("LOST " + id + ": read, not passed on, closed without an answer"));
    return lost.isEmpty();
  }

  public static void main(String[] arguments) {
    run(new StopWhileWaiting(), arguments);
  }
}
