package io.samphiredyke.net.peer;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
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

  private static byte[] bytes(String text) {
    return text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
  }

  private static byte[] mac(PeerKey key, String text) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
      return mac.doFinal(bytes(text));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }
}
