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
 * Passes bytes on between a listening port and a target, and can lose track of its connections.
 *
 * <p>A connection that is held stays open at both ends, but nothing passes any more.
 */
final class NetworkProxy implements AutoCloseable {

  private static final int BUFFER_BYTES = 8192;
  private static final int MAX_DATAGRAM_BYTES = 65_507;
  private static final int BACKLOG = 50;
  private static final int MAX_TRIES = 20;

  private final ServerSocket server;
  private final InetSocketAddress target;
  private final List<Pair> pairs = new CopyOnWriteArrayList<>();
  private @Nullable DatagramSocket datagrams;
  private volatile boolean holdsNew;

  private NetworkProxy(ServerSocket server, InetSocketAddress target) {
    this.server = server;
    this.target = target;
  }

  /** The two sockets of one relayed connection. */
  private static final class Pair {

    private final Socket near;
    private final Socket far;
    private volatile boolean isHeld;

    Pair(Socket near, Socket far, boolean isHeld) {
      this.near = near;
      this.far = far;
      this.isHeld = isHeld;
    }

    private void close() {
      closeQuietly(near);
      closeQuietly(far);
    }
  }

  static NetworkProxy to(InetSocketAddress target) {
    try {
      NetworkProxy relay = new NetworkProxy(new ServerSocket(0, BACKLOG, loopback()), target);
      start(relay::accept);
      return relay;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a relay that also passes on the datagrams that come to its port. */
  static NetworkProxy withDatagrams(InetSocketAddress target) {
    for (int i = 0; i < MAX_TRIES; i++) {
      NetworkProxy relay = to(target);
      try {
        DatagramSocket datagrams = new DatagramSocket(relay.address());
        relay.datagrams = datagrams;
        start(() -> relay.passDatagrams(datagrams));
        return relay;
      } catch (SocketException e) {
        relay.close();
      }
    }
    throw new IllegalStateException("no port is free for TCP and UDP");
  }

  private static InetAddress loopback() {
    return InetAddress.getLoopbackAddress();
  }

  private void passDatagrams(DatagramSocket socket) {
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

  /** Returns how many connections are open. */
  int connections() {
    return pairs.size();
  }

  /** Passes nothing on over the connections that are open now; new ones work. */
  void silenceOpenConnections() {
    pairs.forEach(pair -> pair.isHeld = true);
  }

  /** Accepts new connections, but passes nothing on over them. */
  void holdNewConnections() {
    holdsNew = true;
  }

  /** Cuts all connections; new ones work. */
  void cutAll() {
    holdsNew = false;
    pairs.forEach(Pair::close);
    pairs.clear();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        Socket far = new Socket(target.getAddress(), target.getPort());
        Pair pair = new Pair(near, far, holdsNew);
        pairs.add(pair);
        start(() -> copy(pair, near, far));
        start(() -> copy(pair, far, near));
      } catch (IOException e) {
        continue;
      }
    }
  }

  private void copy(Pair pair, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      int count = in.read(buffer);
      while (count >= 0) {
        if (!pair.isHeld) {
          out.write(buffer, 0, count);
        }
        count = in.read(buffer);
      }
    } catch (IOException e) {
      pair.close();
    }
    if (!pair.isHeld) {
      pair.close();
      pairs.remove(pair);
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is of no further use.
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
    pairs.forEach(Pair::close);
  }
}
