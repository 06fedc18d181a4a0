package io.samphiredyke.daemon.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Free loopback ports. */
final class Ports {

  private static final int MAX_TRIES = 20;

  private Ports() {}

  /** Returns a loopback address whose port is free for TCP and UDP at present. */
  static InetSocketAddress free() {
    for (int i = 0; i < MAX_TRIES; i++) {
      int port = freeTcpPort();
      if (isFreeForUdp(port)) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      }
    }
    throw new IllegalStateException("no port is free for TCP and UDP");
  }

  private static int freeTcpPort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static boolean isFreeForUdp(int port) {
    try (DatagramSocket socket = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
