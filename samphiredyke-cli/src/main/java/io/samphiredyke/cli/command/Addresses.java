package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads addresses given in flags; names are not looked up. */
final class Addresses {

  private static final Pattern ADDRESS =
      Pattern.compile("(?<ip>\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):(?<port>\\d{1,5})");
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  static InetSocketAddress parse(String flag, String text) throws CommandException {
    Matcher matcher = ADDRESS.matcher(text.trim());
    if (!matcher.matches()) {
      throw wrong(flag, text);
    }
    int port = Integer.parseInt(matcher.group("port"));
    if (port < 1 || port > MAX_PORT) {
      throw wrong(flag, text);
    }
    try {
      return new InetSocketAddress(InetAddress.getByName(matcher.group("ip")), port);
    } catch (UnknownHostException e) {
      throw wrong(flag, text);
    }
  }

  static List<InetSocketAddress> parseList(String flag, String text) throws CommandException {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (String part : text.split(",", -1)) {
      addresses.add(parse(flag, part));
    }
    return addresses;
  }

  private static CommandException wrong(String flag, String text) {
    return new CommandException(
        ExitCode.USAGE,
        flag + ": '" + text + "' is not an IP number and port such as 10.0.0.7:8000");
  }
}
