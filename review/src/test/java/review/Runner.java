package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a server ("runner"): registers in the store every 1.2 s, refuses requests for other
 * instances with 421, and leaves the answer to a behaviour.
 */
final class Runner implements AutoCloseable {

  /** Answers a request; returns whether the connection stays open. */
  interface Behaviour {
    boolean answer(Net.Head head, byte[] body, Socket socket, OutputStream out) throws IOException;
  }

  final String id;
  private final String service;
  private final int slots;
  private final Store store;
  private final Net.Server server;
  private final long born = System.currentTimeMillis();
  private final AtomicInteger sequence = new AtomicInteger();
  private volatile boolean closed;

  Runner(Store store, String ip, String id, String service, int slots, Behaviour behaviour)
      throws IOException {
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.store = store;
    this.server =
        new Net.Server(
            ip,
            0,
            (head, body, socket, out) -> {
              String expected = head.header("X-Samphiredyke-Expect-Instance");
              if (!expected.isEmpty() && !expected.equals(id)) {
                Net.write(out, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
                return true;
              }
              return behaviour.answer(head, body, socket, out);
            });
    Thread heartbeats = new Thread(this::sendHeartbeats, "heartbeats");
    heartbeats.setDaemon(true);
    heartbeats.start();
  }

  private void sendHeartbeats() {
    while (!closed) {
      store.put(
          "keyed.servers",
          id,
          String.format(
              "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"oslo-a\",\"Version\":\"v1\","
                  + "\"BatchSlots\":%d,\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":%d,"
                  + "\"born\":%d}",
              service,
              server.listener.getInetAddress().getHostAddress(),
              server.port(),
              slots,
              sequence.incrementAndGet(),
              born));
      Case.sleep(1_200);
    }
  }

  /** Head of a response that the runner gives for a request. */
  static String head(Net.Head request, int status, String more) {
    return "HTTP/1.1 "
        + status
        + " Status\r\nX-Samphiredyke-Request-Id: "
        + request.header("X-Samphiredyke-Request-Id")
        + "\r\nX-Samphiredyke-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
        + more;
  }

  /** Writes a complete plain answer. */
  static void answer(Net.Head request, OutputStream out, int status, byte[] body)
      throws IOException {
    java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream();
    bytes.write(Net.bytes(head(request, status, "Content-Length: " + body.length + "\r\n\r\n")));
    bytes.write(body);
    out.write(bytes.toByteArray());
    out.flush();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
  }
}
