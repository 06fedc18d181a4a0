package io.samphiredyke.gateway.tunnel;

/**
 * Why a tunnel was not opened.
 *
 * @param kind what it tells about the peer and the endpoint
 * @param reason description
 */
public record TunnelRefusal(Kind kind, String reason) {

  /** Begin of the operating system's reason for a connection to an address where none listens. */
  private static final String CONNECTION_REFUSED = "Connection refused";

  /** Returns whether a failed connection was refused, so that nothing listens at its address. */
  public static boolean isConnectionRefused(String reason) {
    return reason.startsWith(CONNECTION_REFUSED);
  }

  /** What a refusal tells. */
  public enum Kind {
    /** The peer is not reached, or it opens no tunnel to any endpoint. */
    PEER_UNAVAILABLE,
    /** The peer's own path to the endpoint is lost, so that some host reaches the endpoint. */
    PATH_LOST,
    /** The peer did not reach the endpoint, or doesn't know it. */
    ENDPOINT_UNREACHABLE
  }
}
