package io.samphiredyke.net.http;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import io.samphiredyke.net.codec.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.regex.Pattern;

/**
 * Decides whether the received responses to one request are whole.
 *
 * <p>A body that only the end of the connection ended may have been cut off, as by a server that
 * was killed. A body that contains the begin of a response, or ends within one, may have been cut
 * off and filled with a second copy. Either is whole if it is one JSON object or array: no part of
 * one is JSON, nor is one that contains a line of a head. Without a length, its type has to be JSON
 * as well, as the first of several lines of JSON is an object too. Any other is whole if the server
 * sends it once more. Not thread-safe.
 */
public final class WholeResponseCheck {

  /** A status line, or the begin of one at the end of the body. */
  private static final Pattern STATUS_LINE =
      Pattern.compile(
          "HTTP/1\\.[0-9] [0-9]{3}"
              + "|(?:H|HT|HTT|HTTP|HTTP/|HTTP/1|HTTP/1\\.|HTTP/1\\.[0-9])\\z"
              + "|HTTP/1\\.[0-9] [0-9]{0,2}\\z");

  private static final ObjectReader JSON =
      Json.mapper().reader().with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private byte[] earlierDigest = new byte[0];

  /**
   * Returns whether a response is known to be whole. If not, the request has to be repeated, or its
   * result read again.
   */
  public boolean isWhole(HttpResponse response) {
    byte[] body = response.body();
    boolean isSuspect = response.endsWithConnection() || containsResponse(body);
    if (!isSuspect || provesItself(response)) {
      return true;
    }
    byte[] digest = digest(response.status(), body);
    boolean isRepeated = Arrays.equals(digest, earlierDigest);
    earlierDigest = digest;
    return isRepeated;
  }

  /** Returns whether a body contains the begin of a response, also one that is cut at the end. */
  private static boolean containsResponse(byte[] body) {
    return STATUS_LINE.matcher(new String(body, StandardCharsets.ISO_8859_1)).find();
  }

  private static boolean provesItself(HttpResponse response) {
    boolean mayBeOneOfManyLines = response.endsWithConnection() && !statesJson(response);
    return !mayBeOneOfManyLines && isJson(response.body());
  }

  private static boolean statesJson(HttpResponse response) {
    String contentType = response.headers().getOrDefault("content-type", "");
    int parameters = contentType.indexOf(';');
    String type = parameters < 0 ? contentType : contentType.substring(0, parameters);
    return type.strip().equalsIgnoreCase("application/json");
  }

  private static boolean isJson(byte[] body) {
    try {
      return JSON.readTree(body).isContainerNode();
    } catch (IOException e) {
      return false;
    }
  }

  private static byte[] digest(int status, byte[] body) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(Integer.toString(status).getBytes(StandardCharsets.US_ASCII));
      return digest.digest(body);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
