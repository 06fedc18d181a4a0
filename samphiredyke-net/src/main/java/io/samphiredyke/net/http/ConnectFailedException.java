package io.samphiredyke.net.http;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Thrown if a connection could not be established, so that no part of the request was sent. */
public final class ConnectFailedException extends IOException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception for the address that could not be reached. */
  public ConnectFailedException(InetSocketAddress address, Throwable cause) {
    super("failed to connect to " + address, cause);
  }
}
