package io.samphiredyke.schema.settings.loader;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses addresses that consist of an IP address and a port. Host names are not resolved. */
final class AddressParser {

  private static final int MAX_PORT = 65_535;
  private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
  private static final Pattern IPV4 =
      Pattern.compile("(" + OCTET + "(?:\\." + OCTET + "){3}):(\\d{1,5})");
  private static final Pattern IPV6 =
      Pattern.compile("\\[([0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*)]:(\\d{1,5})");
  private static final String HTTP = "http://";

  private AddressParser() {}

  static InetSocketAddress parse(String text, int minPort) {
    Matcher matcher = IPV4.matcher(text);
    if (!matcher.matches()) {
      matcher = IPV6.matcher(text);
    }
    if (!matcher.matches()) {
      throw malformed(text);
    }
    int port = Integer.parseInt(matcher.group(2));
    if (port < minPort || port > MAX_PORT) {
      throw new IllegalArgumentException(
          "port " + port + " is not in the range " + minPort + " to " + MAX_PORT);
    }
    return new InetSocketAddress(parseLiteral(matcher.group(1), text), port);
  }

  static InetSocketAddress parseHttp(String text) {
    String address = text.startsWith(HTTP) ? text.substring(HTTP.length()) : text;
    return parse(address, 1);
  }

  private static InetAddress parseLiteral(String ipAddress, String text) {
    try {
      return InetAddress.getByName(ipAddress);
    } catch (UnknownHostException e) {
      throw malformed(text);
    }
  }

  private static IllegalArgumentException malformed(String text) {
    return new IllegalArgumentException(
        "expected an IP address and a port, such as 10.0.0.1:7800 or [::1]:7800, not '"
            + text
            + "'");
  }
}
