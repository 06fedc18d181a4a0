package io.samphiredyke.net.http;

import java.io.IOException;
import java.net.InetSocketAddress;

/** A connection that was never established, so that nothing of the request was sent. */
public final class ConnectFailedException extends IOException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception for an address that did not accept a connection. */
  public ConnectFailedException(InetSocketAddress address, Throwable cause) {
    super("cannot connect to " + address, cause);
  }
}
