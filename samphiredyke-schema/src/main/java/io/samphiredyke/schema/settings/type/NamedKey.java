package io.samphiredyke.schema.settings.type;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** A secret key with its id. {@link #toString()} does not contain the key. */
public final class NamedKey {

  /** Minimum length of a key, in bytes. */
  public static final int MIN_KEY_BYTES = 16;

  private static final Pattern ID = Pattern.compile("[A-Za-z0-9._-]{1,32}");

  private final String id;
  private final byte[] bytes;

  private NamedKey(String id, byte[] bytes) {
    this.id = id;
    this.bytes = bytes;
  }

  /**
   * Parses a key of the form {@code id:hex}.
   *
   * @throws IllegalArgumentException if the text has another form or the key is too short; the
   *     message does not contain the text
   */
  public static NamedKey parse(String text) {
    int colon = text.indexOf(':');
    if (colon < 0 || !ID.matcher(text.substring(0, colon)).matches()) {
      throw new IllegalArgumentException("a key must have the form id:hex");
    }
    byte[] bytes = parseHex(text.substring(colon + 1));
    if (bytes.length < MIN_KEY_BYTES) {
      throw new IllegalArgumentException("a key must have at least " + MIN_KEY_BYTES + " bytes");
    }
    return new NamedKey(text.substring(0, colon), bytes);
  }

  private static byte[] parseHex(String hex) {
    try {
      return HexFormat.of().parseHex(hex);
    } catch (IllegalArgumentException e) {
      // The message of the cause contains a part of the key.
      throw new IllegalArgumentException("a key must consist of pairs of hexadecimal digits");
    }
  }

  /** Returns the id of the key, which is not secret. */
  public String id() {
    return id;
  }

  /** Returns a copy of the key. */
  public byte[] bytes() {
    return bytes.clone();
  }

  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof NamedKey that && id.equals(that.id) && Arrays.equals(bytes, that.bytes);
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return id + ":***";
  }
}
