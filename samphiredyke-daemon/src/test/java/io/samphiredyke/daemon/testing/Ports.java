package io.samphiredyke.daemon.testing;

import io.samphiredyke.schema.settings.DaemonSettings;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** Finds free loopback ports outside the system's ephemeral port range. */
final class Ports {

  private static final int FIRST_PORT = 15_000;
  private static final int END_PORT = 31_000;
  private static final int MAX_TRIES = 200;
  private static final Set<Integer> taken = ConcurrentHashMap.newKeySet();

  private Ports() {}

  /**
   * Returns a loopback address whose port is free for TCP and UDP, a different one at each call.
   */
  static InetSocketAddress free() {
    for (int i = 0; i < MAX_TRIES; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
      if (taken.add(port) && isFree(port)) {
        return new InetSocketAddress("127.0.0.1", port);
      }
    }
    throw new IllegalStateException("found no port that is free for TCP and UDP");
  }

  /** Returns whether nothing listens on any port of a host, for TCP or UDP. */
  static boolean areFree(DaemonSettings host) {
    return Stream.of(host.address(), host.peerAddress(), host.metricsAddress())
        .filter(Objects::nonNull)
        .allMatch(address -> isFree(address.getPort()));
  }

  private static boolean isFree(int port) {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket stream = new ServerSocket(port, 1, loopback);
        DatagramSocket datagrams = new DatagramSocket(port, loopback)) {
      return stream.isBound() && datagrams.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
