package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages on blocking sockets, as far as the stand-ins need them. */
final class Net {

  private Net() {}

  /** Start line and headers of a message; names of headers in any case. */
  static final class Head {
    String startLine = "";
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }
  }

  /** A response as a client has read it; {@code end} tells how its body ended. */
  static final class Response {
    Head head = new Head();
    byte[] body = new byte[0];
    boolean complete;
    String end = "";
  }

  static Head readHead(InputStream in) throws IOException {
    Head head = new Head();
    String line = readLine(in);
    while (line != null && line.isEmpty()) {
      line = readLine(in);
    }
    if (line == null) {
      return null;
    }
    head.startLine = line;
    while (true) {
      line = readLine(in);
      if (line == null) {
        throw new EOFException("the connection ended within a head");
      }
      if (line.isEmpty()) {
        return head;
      }
      int colon = line.indexOf(':');
      head.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
      }
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
  }

  static byte[] readBody(InputStream in, Head head) throws IOException {
    if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new Truncated(body.toByteArray());
        }
        int length = Integer.parseInt(size.trim(), 16);
        byte[] chunk = in.readNBytes(length);
        body.write(chunk);
        if (chunk.length < length || readLine(in) == null) {
          throw new Truncated(body.toByteArray());
        }
        if (length == 0) {
          return body.toByteArray();
        }
      }
    }
    String length = head.header("Content-Length");
    if (length.isEmpty()) {
      return new byte[0];
    }
    byte[] body = in.readNBytes(Integer.parseInt(length));
    if (body.length < Integer.parseInt(length)) {
      throw new Truncated(body);
    }
    return body;
  }

  /** The connection ended before the body was complete. */
  static final class Truncated extends IOException {
    private static final long serialVersionUID = 1;
    final transient byte[] received;

    Truncated(byte[] received) {
      super("the connection ended within the body");
      this.received = received;
    }
  }

  /** Reads a response to the end or until the connection ends. */
  static Response readResponse(InputStream in) {
    Response response = new Response();
    try {
      Head head = readHead(in);
      if (head == null) {
        response.end = "closed without an answer";
        return response;
      }
      response.head = head;
      response.body = readBody(in, head);
      response.complete = true;
      response.end = "complete";
    } catch (Truncated e) {
      response.body = e.received;
      response.end = "cut off within the body";
    } catch (IOException | NumberFormatException e) {
      response.end = String.valueOf(e.getMessage());
    }
    return response;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(bytes(text));
    out.flush();
  }

  /** Handles the requests of one connection. */
  interface Handler {
    /** Returns whether the connection stays open. */
    boolean handle(Head head, byte[] body, Socket socket, OutputStream out) throws IOException;
  }

  /** A server with a thread for each connection. */
  static final class Server implements AutoCloseable {
    final ServerSocket listener;
    private final List<Socket> sockets = new ArrayList<>();
    volatile boolean closed;

    Server(String ip, int port, Handler handler) throws IOException {
      listener = new ServerSocket(port, 1024, InetAddress.getByName(ip));
      Thread accepting = new Thread(() -> accept(handler), "accept");
      accepting.setDaemon(true);
      accepting.start();
    }

    int port() {
      return listener.getLocalPort();
    }

    private void accept(Handler handler) {
      while (!closed) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          synchronized (sockets) {
            sockets.add(socket);
          }
          Thread thread = new Thread(() -> serve(socket, handler), "connection");
          thread.setDaemon(true);
          thread.start();
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket, Handler handler) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
        OutputStream out = socket.getOutputStream();
        while (true) {
          Head head = readHead(in);
          if (head == null || !handler.handle(head, readBody(in, head), socket, out)) {
            return;
          }
        }
      } catch (IOException | RuntimeException e) {
        // The peer ended the connection.
      } finally {
        synchronized (sockets) {
          sockets.remove(socket);
        }
      }
    }

    @Override
    public void close() throws IOException {
      closed = true;
      listener.close();
      synchronized (sockets) {
        for (Socket socket : sockets) {
          socket.close();
        }
      }
    }
  }
}
