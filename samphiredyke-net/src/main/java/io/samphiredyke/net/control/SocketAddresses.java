package io.samphiredyke.net.control;

import java.net.InetSocketAddress;

/** Reading and writing of {@code ip:port}. */
public final class SocketAddresses {

  private SocketAddresses() {}

  /**
   * Parses an address.
   *
   * @throws IllegalArgumentException if the text is not {@code ip:port}
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not an ip:port: " + text);
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    return new InetSocketAddress(text.substring(0, colon), port);
  }

  /** Writes an address as {@code ip:port}. */
  public static String format(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
