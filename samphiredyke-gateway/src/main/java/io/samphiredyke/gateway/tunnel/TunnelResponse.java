package io.samphiredyke.gateway.tunnel;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Head of the response to a {@link TunnelRequest}. */
final class TunnelResponse {

  static final String STOPPING = "the host stops";
  static final String LIMIT = "too many tunnels";
  static final String PATH_LOST = "the path is lost here too";
  static final String UNKNOWN_ENDPOINT = "unknown endpoint";

  private static final String VERSION = "HTTP/1.1 ";
  private static final String OPENED = VERSION + "200 ";
  private static final String END_OF_LINE = "\r\n";
  private static final String END = END_OF_LINE + END_OF_LINE;
  private static final String FRAMED =
      END_OF_LINE + TunnelFraming.HEADER + ": " + TunnelFraming.STATED;

  /** Maximum length of a reason, so that the head is never longer than a head may be. */
  private static final int MAX_REASON = 256;

  /** Refusals with a status of their own; any other one is a failed connection to the endpoint. */
  private static final Map<String, Integer> STATUS =
      Map.of(STOPPING, 503, LIMIT, 503, PATH_LOST, 503, UNKNOWN_ENDPOINT, 404);

  private static final int BAD_GATEWAY = 502;

  private TunnelResponse() {}

  /**
   * Returns the head of an open tunnel.
   *
   * @param isFramed whether the endpoint's bytes are framed, see {@link TunnelFraming}
   */
  static String opened(boolean isFramed) {
    return OPENED + "tunnel opened" + (isFramed ? FRAMED : "") + END;
  }

  /** Returns whether the endpoint's bytes are framed in the tunnel that a head opens. */
  static boolean isFramed(String head) {
    return head.contains(FRAMED + END_OF_LINE);
  }

  static String refused(String reason) {
    String line = reason.replaceAll("[^ -~]", " ");
    return VERSION
        + STATUS.getOrDefault(reason, BAD_GATEWAY)
        + " "
        + line.substring(0, Math.min(line.length(), MAX_REASON))
        + END;
  }

  /** Returns the refusal that a head contains, or null if the tunnel is open. */
  static @Nullable TunnelRefusal refusal(String head) {
    if (head.startsWith(OPENED)) {
      return null;
    }
    int endOfLine = head.indexOf('\r');
    String line = endOfLine < 0 ? head : head.substring(0, endOfLine);
    int reasonAt = VERSION.length() + 4;
    if (!line.startsWith(VERSION) || line.length() < reasonAt) {
      return new TunnelRefusal(TunnelRefusal.Kind.PEER_UNAVAILABLE, "a malformed response");
    }
    String reason = line.substring(reasonAt);
    return new TunnelRefusal(kind(reason), reason);
  }

  private static TunnelRefusal.Kind kind(String reason) {
    return switch (reason) {
      case STOPPING, LIMIT -> TunnelRefusal.Kind.PEER_UNAVAILABLE;
      case PATH_LOST -> TunnelRefusal.Kind.PATH_LOST;
      default -> TunnelRefusal.Kind.ENDPOINT_UNREACHABLE;
    };
  }
}
