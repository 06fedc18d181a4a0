package io.samphiredyke.core.ownership;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Identifier of one request of a caller, written as {@code ticket.sequence}.
 *
 * @param token the ticket as encoded by {@link TicketCodec}
 * @param sequence the number chosen by the caller, not negative
 */
public record RequestId(String token, long sequence) {

  /** Maximum length of an encoded id in characters. */
  public static final int MAX_LENGTH = 1024;

  private static final int DIGEST_BYTES = 6;
  private static final int MAX_SEQUENCE_DIGITS = 18;

  /**
   * Parses an encoded id without verifying the ticket.
   *
   * @param text the value of the header {@code Idempotency-Key}
   * @return the id, or empty if the text is malformed
   */
  public static Optional<RequestId> parse(String text) {
    int dot = text.lastIndexOf('.');
    if (text.length() > MAX_LENGTH || dot <= 0) {
      return Optional.empty();
    }
    String digits = text.substring(dot + 1);
    if (!isCanonicalNumber(digits)) {
      return Optional.empty();
    }
    return Optional.of(new RequestId(text.substring(0, dot), Long.parseLong(digits)));
  }

  /**
   * Returns 12 hexadecimal digits that identify the request in logs, which must not show tickets.
   */
  public String digest() {
    byte[] hash = sha256().digest(toString().getBytes(StandardCharsets.UTF_8));
    return HexFormat.of().formatHex(hash, 0, DIGEST_BYTES);
  }

  @Override
  public String toString() {
    return token + "." + sequence;
  }

  private static boolean isCanonicalNumber(String digits) {
    if (digits.isEmpty() || digits.length() > MAX_SEQUENCE_DIGITS) {
      return false;
    }
    if (digits.length() > 1 && digits.charAt(0) == '0') {
      return false;
    }
    return digits.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
