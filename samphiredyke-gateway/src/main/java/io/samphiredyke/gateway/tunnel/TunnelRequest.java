package io.samphiredyke.gateway.tunnel;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Head of a request for a tunnel, an HTTP CONNECT request.
 *
 * @param address address of the endpoint, {@code ip:port} as registered
 * @param endpointId id of the endpoint
 * @param requestId id of the caller's request that needs the connection, for the log
 * @param from peer address of the host that asks
 * @param wantsFrames whether the endpoint's bytes are to be framed, see {@link TunnelFraming}
 */
record TunnelRequest(
    String address, String endpointId, String requestId, String from, boolean wantsFrames) {

  private static final String METHOD = "CONNECT ";
  private static final String VERSION = " HTTP/1.1";
  private static final String END_OF_LINE = "\r\n";
  private static final String ENDPOINT_HEADER = "tunnel-endpoint";
  private static final String REQUEST_HEADER = "tunnel-request";
  private static final String FROM_HEADER = "tunnel-from";

  /** Longer request ids are truncated, as they are only logged. */
  private static final int MAX_REQUEST_ID = 128;

  /** Returns the head as it is sent. */
  String encode() {
    String id = requestId.substring(0, Math.min(requestId.length(), MAX_REQUEST_ID));
    return METHOD
        + address
        + VERSION
        + END_OF_LINE
        + header("host", address)
        + header(ENDPOINT_HEADER, escape(endpointId))
        + header(REQUEST_HEADER, escape(id))
        + header(FROM_HEADER, escape(from))
        + (wantsFrames ? header(TunnelFraming.HEADER, TunnelFraming.STATED) : "")
        + END_OF_LINE;
  }

  private static String header(String name, String value) {
    return name + ": " + value + END_OF_LINE;
  }

  private static String escape(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  /** Decodes a head, which ends with an empty line; returns null if it is malformed. */
  static @Nullable TunnelRequest decode(String head) {
    String[] lines = head.split(END_OF_LINE);
    if (lines.length == 0 || !lines[0].startsWith(METHOD) || !lines[0].endsWith(VERSION)) {
      return null;
    }
    int end = lines[0].length() - VERSION.length();
    if (end <= METHOD.length()) {
      return null;
    }
    Map<String, String> headers = new HashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon <= 0) {
        return null;
      }
      String name = lines[i].substring(0, colon).toLowerCase(Locale.ROOT);
      if (headers.put(name, lines[i].substring(colon + 1).trim()) != null) {
        return null;
      }
    }
    return decode(lines[0].substring(METHOD.length(), end), headers);
  }

  private static @Nullable TunnelRequest decode(String address, Map<String, String> headers) {
    if (!headers.containsKey(ENDPOINT_HEADER)) {
      return null;
    }
    try {
      return new TunnelRequest(
          address,
          unescape(headers.get(ENDPOINT_HEADER)),
          unescape(headers.get(REQUEST_HEADER)),
          unescape(headers.get(FROM_HEADER)),
          TunnelFraming.STATED.equals(headers.get(TunnelFraming.HEADER)));
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  private static String unescape(@Nullable String text) {
    return text == null ? "" : URLDecoder.decode(text, StandardCharsets.UTF_8);
  }
}
