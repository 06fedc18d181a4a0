package io.samphiredyke.gateway.upstream;

import io.samphiredyke.net.control.SocketAddresses;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.UnaryOperator;

/**
 * Stands between a host and a server of tunnels, as a passing host that can be killed: its
 * operating system closes its connections regularly.
 */
final class PassingHost implements Closeable {

  private final ServerSocket listener;
  private final String server;
  private final UnaryOperator<String> requestFilter;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private volatile boolean isCut;

  /**
   * Starts a host.
   *
   * @param server address of the server of tunnels
   * @param requestFilter changes what the asking host sends
   */
  PassingHost(String server, UnaryOperator<String> requestFilter) throws IOException {
    this.server = server;
    this.requestFilter = requestFilter;
    this.listener = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
    start(this::acceptAll);
  }

  private static void start(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket asking = listener.accept();
        Socket tunnel = new Socket();
        tunnel.connect(SocketAddresses.parse(server));
        sockets.add(asking);
        sockets.add(tunnel);
        start(() -> pass(asking, tunnel, requestFilter));
        start(() -> pass(tunnel, asking, UnaryOperator.identity()));
      }
    } catch (IOException e) {
      // The host was killed.
    }
  }

  private void pass(Socket from, Socket to, UnaryOperator<String> filter) {
    try {
      InputStream in = from.getInputStream();
      byte[] buffer = new byte[16 * 1024];
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        if (isCut) {
          continue;
        }
        String text = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
        to.getOutputStream().write(filter.apply(text).getBytes(StandardCharsets.ISO_8859_1));
      }
      if (!isCut) {
        to.close();
      }
    } catch (IOException e) {
      reset(to);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  /** Passes nothing on any more, while all connections stay open. */
  void cut() {
    isCut = true;
  }

  /** Closes the listener and all connections regularly. */
  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
