package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stand-in of a runner, which registers in the store and records what it runs. */
final class Runner implements AutoCloseable {

  /** Answers a request that is run. */
  interface Work {
    void run(Http.Message request, Socket socket, OutputStream out) throws Exception;
  }

  /** A request that was run. */
  record Run(String id, String tenant, String method, String target, String body) {}

  private static final long HEARTBEAT_MILLIS = 1_200;

  private final String id;
  private final String service;
  private final int slots;
  private final Work work;
  private final Store store;
  private final ServerSocket listener;
  private final long born = System.currentTimeMillis();
  private final List<Run> runs = new CopyOnWriteArrayList<>();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean isClosed;

  Runner(String id, String service, String ip, int slots, Store store, Work work) throws IOException {
    this(id, service, ip, 0, slots, store, work);
  }

  Runner(String id, String service, String ip, int port, int slots, Store store, Work work)
      throws IOException {
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.work = work;
    this.store = store;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
    Threads.start(id, this::accept);
    Threads.start(id + "-heartbeat", this::beat);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  List<Run> runs() {
    return runs;
  }

  private void beat() throws InterruptedException {
    for (int sequence = 1; !isClosed; sequence++) {
      store.put(
          "keyed.servers",
          id,
          "{\"Service\":\"" + service + "\",\"Address\":\"" + address()
              + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"BatchSlots\":" + slots
              + ",\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":" + sequence
              + ",\"born\":" + born + "}");
      Thread.sleep(HEARTBEAT_MILLIS);
    }
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = listener.accept();
      Threads.start(id + "-connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws Exception {
    open.add(socket);
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Message request = Http.readRequest(in);
          request != null;
          request = Http.readRequest(in)) {
        handle(request, socket, out);
      }
    }
  }

  private void handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
    String expected = request.header("X-Samphiredyke-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      send(out, request, 421, "X-Samphiredyke-Instance-Id: " + id + "\r\n", new byte[0]);
    } else if (request.target().equals("/health")) {
      send(out, request, 200, "X-Samphiredyke-Instance-Id: " + id + "\r\n", new byte[0]);
    } else if (request.target().equals("/samphiredyke/report")) {
      String report = "{\"Stage\":\"both\",\"Models\":[],\"Sequence\":0,\"born\":" + born + "}";
      send(out, request, 200, "", report.getBytes(StandardCharsets.UTF_8));
    } else if (request.header("X-Samphiredyke-Request-Id").isEmpty()) {
      send(out, request, 400, "X-Samphiredyke-Not-Executed: 1\r\n", new byte[0]);
    } else {
      runs.add(
          new Run(
              request.header("X-Samphiredyke-Request-Id"),
              request.header("X-Samphiredyke-Tenant"),
              request.method(),
              request.target(),
              request.text()));
      work.run(request, socket, out);
    }
  }

  /** Sends a whole answer with its length. */
  static void send(OutputStream out, Http.Message request, int status, String headers, byte[] body)
      throws IOException {
    String requestId = request.header("X-Samphiredyke-Request-Id");
    String head =
        "HTTP/1.1 " + status + " Status\r\n"
            + (requestId.isEmpty() ? "" : "X-Samphiredyke-Request-Id: " + requestId + "\r\n")
            + headers + "Keep-Alive: timeout=10\r\nContent-Length: " + body.length + "\r\n\r\n";
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    message.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    message.writeBytes(body);
    out.write(message.toByteArray());
    out.flush();
  }

  /** Sends a whole success with a signature of its body. */
  static void succeed(OutputStream out, Http.Message request, byte[] body) throws IOException {
    send(out, request, 200, "X-Samphiredyke-Server-Signature: " + signature(body) + "\r\n", body);
  }

  static String signature(byte[] body) {
    return Integer.toHexString(java.util.Arrays.hashCode(body)) + "." + Integer.toHexString(body.length);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Ends like a killed process: its connections end and nothing more is written to the store. */
  @Override
  public void close() throws IOException {
    isClosed = true;
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
