package io.samphiredyke.standins;

import io.samphiredyke.standins.hosts.HostEntry;
import java.net.InetSocketAddress;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** Parsers for the values of command-line flags. */
final class FlagTypes {

  private static final int MAX_PORT = 65_535;
  private static final int HOST_FIELDS_WITHOUT_STATE = 4;
  private static final int HOST_FIELDS = 5;

  private FlagTypes() {}

  /** Parses {@code ip:port}. */
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

  /** Parses {@code name,ip:port,kind,data centre[,state]}; the state defaults to live. */
  static HostEntry host(ArgumentParser parser, Argument flag, String value)
      throws ArgumentParserException {
    String[] fields = value.split(",", -1);
    if (fields.length != HOST_FIELDS && fields.length != HOST_FIELDS_WITHOUT_STATE) {
      throw new ArgumentParserException(
          "'" + value + "' isn't NAME,IP:PORT,KIND,DATA-CENTRE[,STATE]", parser, flag);
    }
    String state = fields.length == HOST_FIELDS ? fields[HOST_FIELDS - 1] : "live";
    return new HostEntry(fields[0], fields[1], fields[2], fields[3], state);
  }
}
