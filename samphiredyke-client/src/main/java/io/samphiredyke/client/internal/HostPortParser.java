package io.samphiredyke.client.internal;

import java.net.InetSocketAddress;
import java.util.List;

/** Parses addresses of the form {@code ip:port}. */
public final class HostPortParser {

  private HostPortParser() {}

  /**
   * Parses one address.
   *
   * @throws IllegalArgumentException if the text has no valid port
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("'" + text + "' is not of the form ip:port");
    }
    try {
      return new InetSocketAddress(
          text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("'" + text + "' has no port number", e);
    }
  }

  /**
   * Parses several addresses.
   *
   * @throws IllegalArgumentException if one is invalid
   */
  public static List<InetSocketAddress> parse(List<String> texts) {
    return texts.stream().map(HostPortParser::parse).toList();
  }
}
