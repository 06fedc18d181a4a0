import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server with a thread a connection, and the readers that a client needs too. */
final class HttpPeer {

  /** Handles one request. */
  interface Handler {
    void handle(Request request, Reply reply) throws IOException;
  }

  /** A request that was read whole; header names are in lower case. */
  record Request(
      String method, String target, Map<String, String> headers, byte[] body, Socket socket) {

    String path() {
      int mark = target.indexOf('?');
      return mark < 0 ? target : target.substring(0, mark);
    }

    Map<String, String> query() {
      Map<String, String> query = new HashMap<>();
      int mark = target.indexOf('?');
      if (mark >= 0) {
        for (String pair : target.substring(mark + 1).split("&")) {
          int equals = pair.indexOf('=');
          if (equals > 0) {
            query.put(
                pair.substring(0, equals),
                URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
          }
        }
      }
      return query;
    }
  }

  /** Writes the response to one request. */
  static final class Reply {
    private final OutputStream out;

    Reply(OutputStream out) {
      this.out = out;
    }

    void send(int status, Map<String, String> headers, byte[] body) throws IOException {
      StringBuilder head = head(status, headers);
      head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
      ByteArrayOutputStream whole = new ByteArrayOutputStream();
      whole.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      whole.writeBytes(body);
      out.write(whole.toByteArray());
      out.flush();
    }

    void startChunks(int status, Map<String, String> headers) throws IOException {
      StringBuilder head = head(status, headers).append("Transfer-Encoding: chunked\r\n\r\n");
      out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    void chunk(byte[] bytes) throws IOException {
      ByteArrayOutputStream whole = new ByteArrayOutputStream();
      whole.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes());
      whole.writeBytes(bytes);
      whole.writeBytes("\r\n".getBytes());
      out.write(whole.toByteArray());
      out.flush();
    }

    void endChunks() throws IOException {
      out.write("0\r\n\r\n".getBytes());
      out.flush();
    }

    private static StringBuilder head(int status, Map<String, String> headers) {
      StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      return head;
    }
  }

  private final ServerSocket listener;
  private final Handler handler;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  HttpPeer(String ip, int port, Handler handler) throws IOException {
    this.handler = handler;
    this.listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
    daemon(this::accept);
  }

  /** Ends as the process of a server that crashes: all connections are reset at once. */
  void crash() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(null, task, "standin", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
      while (true) {
        String line = readLine(in);
        if (line == null) {
          return;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        byte[] body = readBody(in, headers);
        Request request = new Request(words[0], words[1], headers, body, socket);
        handler.handle(request, new Reply(socket.getOutputStream()));
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    } finally {
      sockets.remove(socket);
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int read = in.read();
    if (read < 0) {
      return null;
    }
    while (read >= 0 && read != '\n') {
      if (read != '\r') {
        line.write(read);
      }
      read = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    String line = readLine(in);
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      if (colon > 0) {
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      }
      line = readLine(in);
    }
    if (line == null) {
      throw new IOException("the connection ended within a head");
    }
    return headers;
  }

  /** Reads a body; throws if the connection ends before it is complete. */
  static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String line = readLine(in);
        if (line == null) {
          throw new IOException("the connection ended within a body");
        }
        int length = Integer.parseInt(line.strip(), 16);
        byte[] chunk = readFully(in, length);
        readLine(in);
        if (length == 0) {
          return body.toByteArray();
        }
        body.writeBytes(chunk);
      }
    }
    return readFully(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
  }

  private static byte[] readFully(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new IOException("the connection ended within a body");
    }
    return bytes;
  }
}
