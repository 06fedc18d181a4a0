package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A gateway receives SIGTERM while clients still read answers that the server has given. */
final class StopWhileReading extends Case {

  private static final int CLIENTS = 66;
  private static final int BYTES_PER_SECOND = 300_000;

  /**
   * Sizes of the answers. Some of them exceed what the operating system takes over at once from the
   * gateway for a client that reads slowly by less than the gateway buffers itself.
   */
  private static final int SMALLEST_ANSWER = 3_000_000;

  private static final int SIZE_STEP = 30_000;
  private static final int RECEIVE_BUFFER = 16 * 1024;
  private static final int DEADLINE_MILLIS = 20_000;

  private final Map<String, Boolean> answered = new ConcurrentHashMap<>();
  private final List<String> lost = new CopyOnWriteArrayList<>();
  private boolean answer(Net.Head head, byte[] body, Socket socket, OutputStream out)
      throws IOException {
    String id = head.header("X-Samphiredyke-Request-Id");
    note("server: " + id + " runs");
    int answerBytes = SMALLEST_ANSWER + SIZE_STEP * Integer.parseInt(id.substring(id.indexOf('-') + 1));
    Runner.answer(head, out, 200, new byte[answerBytes]);
    answered.put(id, true);
    note("server: " + id + " answered with " + answerBytes + " bytes");
    return true;
  }

  /** Reads at a limited rate. */
  private static final class SlowStream extends InputStream {
    private final InputStream in;
    private final long startedAt = System.nanoTime();
    private long count;

    SlowStream(InputStream in) {
      this.in = in;
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      long due = startedAt + count * 1_000_000_000L / BYTES_PER_SECOND;
      long early = (due - System.nanoTime()) / 1_000_000;
      if (early > 0) {
        sleep(early);
      }
      int read = in.read(bytes, offset, Math.min(length, 8 * 1024));
      count += Math.max(0, read);
      return read;
    }
  }

  private void send(Gateway gateway, String id) {
    try (Socket client = new Socket()) {
      client.setReceiveBufferSize(RECEIVE_BUFFER);
      client.connect(gateway.frontend(), 1_000);
      client.setSoTimeout(DEADLINE_MILLIS);
      Net.write(
          client.getOutputStream(), request("GET", "/lookup/2f?" + id, id, DEADLINE_MILLIS, ""));
      note("client: " + id + " sent");
      Net.Response response = Net.readResponse(new SlowStream(client.getInputStream()));
      note("client: " + id + " " + response.end + ", " + response.body.length + " bytes");
      if (!response.complete && answered.containsKey(id)) {
        lost.add(id);
      }
    } catch (IOException e) {
      note("client: " + id + " " + e);
    }
  }

  @Override
  boolean play(Path temporary) throws Exception {
    try (Store store = new Store("127.0.0.1")) {
      configure(store, 1, route("lookup", "safe", "registry", 20_000, 1_000, 2));
      try (Runner runner =
              new Runner(store, "127.0.0.1", "i-registry-1", "registry", CLIENTS, this::answer);
          Gateway gateway = Gateway.start(temporary, "gateway-1", "127.0.0.1", store.address())) {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
          String id = "look-" + i;
          Thread thread = new Thread(() -> send(gateway, id));
          thread.start();
          clients.add(thread);
        }
        sleep(700);
        if (TROUBLE) {
          note("operator: SIGTERM");
          gateway.process.destroy();
        }
        for (Thread thread : clients) {
          thread.join();
        }
      }
    }
    lost.forEach(id -> note("LOST " + id + ": the server had answered completely"));
    return lost.isEmpty();
  }

  public static void main(String[] arguments) {
    run(new StopWhileReading(), arguments);
  }
}
