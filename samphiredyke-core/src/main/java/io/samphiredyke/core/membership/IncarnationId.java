package io.samphiredyke.core.membership;

import java.util.HexFormat;
import java.util.random.RandomGenerator;

/**
 * Identifier of one run of a process, 128 random bits drawn at each start.
 *
 * @param high upper 64 bits, which identify the incarnation in compact updates
 * @param low lower 64 bits
 */
public record IncarnationId(long high, long low) {

  private static final int HEX_LENGTH = 32;
  private static final HexFormat HEX = HexFormat.of();

  /**
   * Draws a random id.
   *
   * @param random source of randomness; must be cryptographic in production
   */
  public static IncarnationId random(RandomGenerator random) {
    return new IncarnationId(random.nextLong(), random.nextLong());
  }

  /**
   * Parses the result of {@link #toString}.
   *
   * @throws IllegalArgumentException if the text is not 32 hexadecimal digits
   */
  public static IncarnationId parse(String text) {
    if (text.length() != HEX_LENGTH) {
      throw new IllegalArgumentException("incarnation id must have 32 hexadecimal digits: " + text);
    }
    long high = HexFormat.fromHexDigitsToLong(text, 0, HEX_LENGTH / 2);
    long low = HexFormat.fromHexDigitsToLong(text, HEX_LENGTH / 2, HEX_LENGTH);
    return new IncarnationId(high, low);
  }

  @Override
  public String toString() {
    return HEX.toHexDigits(high) + HEX.toHexDigits(low);
  }
}
