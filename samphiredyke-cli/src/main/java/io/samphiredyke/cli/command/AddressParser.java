package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses IP addresses with ports; host names are not accepted, so nothing is resolved. */
final class AddressParser {

  private static final Pattern IP_AND_PORT =
      Pattern.compile("(?<ip>\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):(?<port>\\d{1,5})");
  private static final int MAX_PORT = 65_535;

  private AddressParser() {}

  static InetSocketAddress parse(String source, String text) throws CommandException {
    Matcher matcher = IP_AND_PORT.matcher(text.trim());
    if (!matcher.matches()) {
      throw invalidAddress(source, text);
    }
    int port = Integer.parseInt(matcher.group("port"));
    if (port < 1 || port > MAX_PORT) {
      throw invalidAddress(source, text);
    }
    try {
      return new InetSocketAddress(InetAddress.getByName(matcher.group("ip")), port);
    } catch (UnknownHostException e) {
      throw invalidAddress(source, text);
    }
  }

  static List<InetSocketAddress> parseList(String source, String text) throws CommandException {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (String part : text.split(",", -1)) {
      addresses.add(parse(source, part));
    }
    return addresses;
  }

  private static CommandException invalidAddress(String source, String text) {
    return new CommandException(
        ExitCode.USAGE,
        source + ": '" + text + "' is not an IP address and port such as 10.0.0.7:8000");
  }
}
