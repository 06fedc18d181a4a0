package io.samphiredyke.standins;

import io.samphiredyke.standins.hosts.HostEntry;
import java.net.InetSocketAddress;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** Readers of flag values. */
final class FlagTypes {

  private static final int MAX_PORT = 65_535;
  private static final int HOST_PARTS_WITHOUT_STATE = 4;
  private static final int HOST_PARTS = 5;

  private FlagTypes() {}

  /** Reads {@code ip:port}. */
  static InetSocketAddress address(ArgumentParser parser, Argument flag, String value)
      throws ArgumentParserException {
    int colon = value.lastIndexOf(':');
    int port = colon < 1 ? -1 : port(value.substring(colon + 1));
    if (port < 0 || port > MAX_PORT) {
      throw new ArgumentParserException("'" + value + "' isn't ip:port", parser, flag);
    }
    return new InetSocketAddress(value.substring(0, colon), port);
  }

  private static int port(String text) {
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** Reads {@code name,ip:port,kind,data centre[,state]}. */
  static HostEntry host(ArgumentParser parser, Argument flag, String value)
      throws ArgumentParserException {
    String[] parts = value.split(",", -1);
    if (parts.length != HOST_PARTS && parts.length != HOST_PARTS_WITHOUT_STATE) {
      throw new ArgumentParserException(
          "'" + value + "' isn't NAME,IP:PORT,KIND,DATA-CENTRE[,STATE]", parser, flag);
    }
    String state = parts.length == HOST_PARTS ? parts[HOST_PARTS - 1] : "live";
    return new HostEntry(parts[0], parts[1], parts[2], parts[3], state);
  }
}
