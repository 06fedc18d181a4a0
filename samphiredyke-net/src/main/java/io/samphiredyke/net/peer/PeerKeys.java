package io.samphiredyke.net.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The shared keys with which hosts prove to each other that they belong to the system.
 *
 * <p>The first key signs and every key verifies, so that keys can be rotated without a stop.
 */
public final class PeerKeys {

  /** Length of the authentication code of a datagram, in bytes. */
  public static final int DATAGRAM_MAC_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final List<PeerKey> keys;

  /**
   * Creates a set of keys.
   *
   * @throws IllegalArgumentException if there is no key
   */
  public PeerKeys(List<PeerKey> keys) {
    if (keys.isEmpty()) {
      throw new IllegalArgumentException("at least one peer key is needed");
    }
    this.keys = List.copyOf(keys);
  }

  /** Returns the id of the key that signs. */
  public String signingKeyId() {
    return keys.get(0).id();
  }

  /** Returns the authentication code of a text under the signing key, in hexadecimal. */
  public String sign(String text) {
    return HexFormat.of().formatHex(mac(keys.get(0), text));
  }

  /** Returns whether a code was made from the text with the key of that id. */
  public boolean isAuthentic(String keyId, String text, String code) {
    for (PeerKey key : keys) {
      if (!key.id().equals(keyId)) {
        continue;
      }
      String expected = HexFormat.of().formatHex(mac(key, text));
      return MessageDigest.isEqual(bytes(expected), bytes(code));
    }
    return false;
  }

  /** Returns the authentication code of a datagram under the signing key. */
  public byte[] datagramMac(byte[] payload) {
    return Arrays.copyOf(mac(keys.get(0), payload), DATAGRAM_MAC_BYTES);
  }

  /** Returns whether a code was made from the payload with one of the keys. */
  public boolean isAuthentic(byte[] payload, byte[] code) {
    boolean matches = false;
    for (PeerKey key : keys) {
      byte[] expected = Arrays.copyOf(mac(key, payload), DATAGRAM_MAC_BYTES);
      matches |= MessageDigest.isEqual(expected, code);
    }
    return matches;
  }

  private static byte[] mac(PeerKey key, String text) {
    return mac(key, bytes(text));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] mac(PeerKey key, byte[] payload) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
      return mac.doFinal(payload);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }
}
