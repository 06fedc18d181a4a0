package io.samphiredyke.daemon.acceptance;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;

/**
 * A TCP and UDP proxy that can stall or close its connections.
 *
 * <p>A stalled connection stays open at both ends, but data is no longer forwarded.
 */
final class NetworkProxy implements AutoCloseable {

  private static final int BUFFER_BYTES = 8192;
  private static final int MAX_DATAGRAM_BYTES = 65_507;
  private static final int BACKLOG = 50;
  private static final int MAX_TRIES = 20;

  private final ServerSocket server;
  private final InetSocketAddress target;
  private final List<Connection> connections = new CopyOnWriteArrayList<>();
  private @Nullable DatagramSocket datagrams;
  private volatile boolean stallsNewConnections;

  private NetworkProxy(ServerSocket server, InetSocketAddress target) {
    this.server = server;
    this.target = target;
  }

  /** The two sockets of one proxied connection. */
  private static final class Connection {

    private final Socket client;
    private final Socket upstream;
    private volatile boolean isStalled;

    Connection(Socket client, Socket upstream, boolean isStalled) {
      this.client = client;
      this.upstream = upstream;
      this.isStalled = isStalled;
    }

    private void close() {
      closeQuietly(client);
      closeQuietly(upstream);
    }
  }

  static NetworkProxy to(InetSocketAddress target) {
    try {
      NetworkProxy proxy = new NetworkProxy(new ServerSocket(0, BACKLOG, loopback()), target);
      start(proxy::accept);
      return proxy;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Starts a proxy that also forwards the datagrams sent to its port. */
  static NetworkProxy withDatagrams(InetSocketAddress target) {
    for (int i = 0; i < MAX_TRIES; i++) {
      NetworkProxy proxy = to(target);
      try {
        DatagramSocket datagrams = new DatagramSocket(proxy.address());
        proxy.datagrams = datagrams;
        start(() -> proxy.forwardDatagrams(datagrams));
        return proxy;
      } catch (SocketException e) {
        proxy.close();
      }
    }
    throw new IllegalStateException("no port is free for TCP and UDP");
  }

  private static InetAddress loopback() {
    return InetAddress.getLoopbackAddress();
  }

  private void forwardDatagrams(DatagramSocket socket) {
    byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
    InetSocketAddress to = new InetSocketAddress(target.getAddress(), target.getPort());
    try {
      while (!socket.isClosed()) {
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        socket.receive(packet);
        socket.send(new DatagramPacket(buffer, packet.getLength(), to));
      }
    } catch (IOException e) {
      socket.close();
    }
  }

  InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  int connectionCount() {
    return connections.size();
  }

  /** Stalls the open connections; new ones work. */
  void stallOpenConnections() {
    connections.forEach(connection -> connection.isStalled = true);
  }

  /** Accepts new connections, but stalls them. */
  void stallNewConnections() {
    stallsNewConnections = true;
  }

  /** Closes all connections; new ones work. */
  void closeAllConnections() {
    stallsNewConnections = false;
    connections.forEach(Connection::close);
    connections.clear();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket client = server.accept();
        Socket upstream = new Socket(target.getAddress(), target.getPort());
        Connection connection = new Connection(client, upstream, stallsNewConnections);
        connections.add(connection);
        start(() -> forward(connection, client, upstream));
        start(() -> forward(connection, upstream, client));
      } catch (IOException e) {
        continue;
      }
    }
  }

  private void forward(Connection connection, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      int count = in.read(buffer);
      while (count >= 0) {
        if (!connection.isStalled) {
          out.write(buffer, 0, count);
        }
        count = in.read(buffer);
      }
    } catch (IOException e) {
      connection.close();
    }
    if (!connection.isStalled) {
      connection.close();
      connections.remove(connection);
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "network-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is not used any more.
    }
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    DatagramSocket socket = datagrams;
    if (socket != null) {
      socket.close();
    }
    connections.forEach(Connection::close);
  }
}
