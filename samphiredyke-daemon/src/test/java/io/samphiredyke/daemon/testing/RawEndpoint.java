package io.samphiredyke.daemon.testing;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;

/**
 * An endpoint that sends bytes of the test's choice to the request of each connection, and closes
 * it.
 */
public final class RawEndpoint implements AutoCloseable {

  private static final String LENGTH_HEADER = "content-length:";
  private static final long PAUSE_MILLIS = 30;

  private final ServerSocket server;
  private final Function<String, List<String>> script;

  private RawEndpoint(ServerSocket server, Function<String, List<String>> script) {
    this.server = server;
    this.script = script;
  }

  /**
   * Starts an endpoint.
   *
   * @param script returns the parts of the response to the head of a request, in lower case but for
   *     the request line; they are sent with pauses, so that each arrives in another read
   */
  public static RawEndpoint start(Function<String, List<String>> script) throws IOException {
    RawEndpoint started =
        new RawEndpoint(new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1")), script);
    startThread(started::acceptAll);
    return started;
  }

  /** Returns the address of the endpoint. */
  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private static void startThread(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = server.accept();
        startThread(() -> serve(socket));
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
      List<String> parts = script.apply(readRequest(in));
      for (int i = 0; i < parts.size(); i++) {
        if (i > 0) {
          Thread.sleep(PAUSE_MILLIS);
        }
        socket.getOutputStream().write(parts.get(i).getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
      }
    } catch (IOException | InterruptedException e) {
      // The host closed the connection.
    }
  }

  private static String readRequest(BufferedReader in) throws IOException {
    StringBuilder head = new StringBuilder(String.valueOf(in.readLine()));
    int length = 0;
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      String header = line.toLowerCase(Locale.ROOT);
      head.append('\n').append(header);
      if (header.startsWith(LENGTH_HEADER)) {
        length = Integer.parseInt(header.substring(LENGTH_HEADER.length()).strip());
      }
    }
    for (int read = 0; read < length; read++) {
      if (in.read() < 0) {
        break;
      }
    }
    return head.toString();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
