package io.samphiredyke.client;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for a host that serves tickets and sends bytes of the test's choice to each POST
 * request. Responses may consist of several writes.
 */
final class RawHost implements AutoCloseable {

  /** Separates two writes of one response, of which the second arrives in another read. */
  static final String LATER = "\u0001";

  private static final long PAUSE_MILLIS = 30;

  /** Response to the POST requests after the scripted ones. */
  private final String lastResponse;

  private final ServerSocket server;
  private final List<String> responses;
  private final AtomicInteger posts = new AtomicInteger();

  private RawHost(ServerSocket server, List<String> responses, String lastResponse) {
    this.server = server;
    this.responses = responses;
    this.lastResponse = lastResponse;
  }

  /**
   * Starts a host. Responses without length, and those that are cut off, end their connection.
   *
   * @param responses responses to the first POST requests, in which {@code ID} stands for the
   *     request id
   */
  static RawHost start(List<String> responses, String lastResponse) throws IOException {
    RawHost host =
        new RawHost(
            new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1")), responses, lastResponse);
    Thread acceptor = new Thread(host::acceptAll);
    acceptor.setDaemon(true);
    acceptor.start();
    return host;
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  int posts() {
    return posts.get();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = server.accept();
        Thread serving = new Thread(() -> serve(socket));
        serving.setDaemon(true);
        serving.start();
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      boolean isOpen = true;
      while (isOpen) {
        String request = in.readLine();
        if (request == null) {
          return;
        }
        String id = readHead(in);
        isOpen = respond(socket, request, id);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String readHead(BufferedReader in) throws IOException {
    String id = "";
    int length = 0;
    for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
      if (line.startsWith("idempotency-key:")) {
        id = line.substring(line.indexOf(':') + 1).strip();
      }
      if (line.startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
      }
    }
    in.skip(length);
    return id;
  }

  private boolean respond(Socket socket, String request, String id) throws IOException {
    if (request.startsWith("GET")) {
      String body =
          "{\"addresses\":[\"" + address() + "\"],\"ticket\":\"t\",\"expiresInSeconds\":60}";
      write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
      return true;
    }
    int post = posts.getAndIncrement();
    String response = post < responses.size() ? responses.get(post) : lastResponse;
    write(socket, response.replace("ID", id));
    return post >= responses.size();
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.setTcpNoDelay(true);
    for (String part : text.split(LATER, -1)) {
      socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
      if (!text.endsWith(part)) {
        pause();
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
