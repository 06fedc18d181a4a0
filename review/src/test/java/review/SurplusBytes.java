package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server begins a second copy of 2 in 100 of its answers, right after the answer, and breaks it
 * off within the first line. It fails 14 in 100 requests with 500.
 */
final class SurplusBytes extends Case {

  private static final double FAILED_SHARE = 0.14;
  private static final double SURPLUS_SHARE = 0.02;
  private static final int CLIENTS = 4;
  private static final long WORK_MILLIS = 5;
  private static final long PERIOD_MILLIS = 8_000;
  private static final long SURPLUS_MILLIS = 5_000;
  private static final long LENGTH_MILLIS = 64_000;

  private final long startedAt = System.nanoTime();
  private final Map<String, Integer> statusOfServer = new ConcurrentHashMap<>();
  private final Map<String, Integer> statusOfClient = new ConcurrentHashMap<>();
  private final Map<String, Integer> results = new TreeMap<>();
  private int answers;
  private int surplus;
  private long until;

  private synchronized boolean isFailed() {
    answers++;
    return (int) (answers * FAILED_SHARE) > (int) ((answers - 1) * FAILED_SHARE);
  }

  private synchronized boolean hasSurplus() {
    boolean isInWindow =
        (System.nanoTime() - startedAt) / 1_000_000 % PERIOD_MILLIS < SURPLUS_MILLIS;
    boolean has = TROUBLE && isInWindow && Math.random() < SURPLUS_SHARE;
    surplus += has ? 1 : 0;
    return has;
  }

  private boolean answer(Net.Head head, byte[] body, Socket socket, OutputStream out)
      throws IOException {
    String id = head.header("X-Samphiredyke-Request-Id");
    sleep(WORK_MILLIS);
    int status = isFailed() ? 500 : 200;
    statusOfServer.put(id, status);
    byte[] content = Net.bytes((status == 200 ? "filed " : "not filed ") + id);
    byte[] first =
        Net.bytes(
            Runner.head(head, status, "Content-Length: " + content.length + "\r\n\r\n")
                .replace("200 Status", "200 OK")
                .replace("500 Status", "500 Internal Server Error"));
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(first);
    bytes.write(content);
    if (hasSurplus()) {
      bytes.write(first, 0, "HTTP/1.1 200 OK".length());
      note("server: surplus bytes after the answer " + status + " to " + id);
    }
    out.write(bytes.toByteArray());
    out.flush();
    return true;
  }

  private void send(Gateway gateway, String name) {
    try (Socket client = new Socket()) {
      client.connect(gateway.frontend(), 1_000);
      client.setSoTimeout(10_000);
      BufferedInputStream in = new BufferedInputStream(client.getInputStream());
      for (int i = 0; System.nanoTime() < until; i++) {
        String id = name + "-" + i;
        Net.write(
            client.getOutputStream(),
            request("POST", "/register/2f", id, 4_000, "Content-Length: 3\r\n") + "abc");
        Net.Response response = Net.readResponse(in);
        if (!response.complete) {
          throw new IOException(response.end);
        }
        int status = response.head.status();
        int own = statusOfServer.getOrDefault(id, 0);
        statusOfClient.put(id, status);
        synchronized (results) {
          results.merge(
              (own == 0 ? "not run" : "server " + own) + ", client " + status, 1, Integer::sum);
        }
        if (own != status || status != 200) {
          note(
              "client: "
                  + id
                  + " answered "
                  + status
                  + " \""
                  + new String(response.body)
                  + "\", server answered "
                  + own);
        }
      }
    } catch (IOException e) {
      note("client: " + name + " " + e);
    }
  }

  @Override
  boolean play(Path temporary) throws Exception {
    try (Store store = new Store("127.0.0.1")) {
      configure(store, 1, route("register", "unsafe", "registry", 4_000, 1_000, 1));
      try (Runner runner =
              new Runner(store, "127.0.0.1", "i-registry-1", "registry", 6, this::answer);
          Gateway gateway = Gateway.start(temporary, "gateway-1", "127.0.0.1", store.address())) {
        until = System.nanoTime() + LENGTH_MILLIS * 1_000_000;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
          String name = "reg-" + i;
          Thread thread = new Thread(() -> send(gateway, name));
          thread.start();
          threads.add(thread);
        }
        for (Thread thread : threads) {
          thread.join();
        }
      }
    }
    int mixed = 0;
    for (Map.Entry<String, Integer> entry : statusOfClient.entrySet()) {
      Integer own = statusOfServer.get(entry.getKey());
      if (own != null && own == 500 && entry.getValue() == 200) {
        mixed++;
        note("MIXED " + entry.getKey() + ": the server answered 500, the client got 200");
      }
    }
    note("answers " + answers + ", with surplus bytes " + surplus + "; " + results);
    return mixed == 0;
  }

  public static void main(String[] arguments) {
    run(new SurplusBytes(), arguments);
  }
}
