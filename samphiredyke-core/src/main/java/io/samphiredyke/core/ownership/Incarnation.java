package io.samphiredyke.core.ownership;

import java.util.HexFormat;
import java.util.random.RandomGenerator;

/**
 * Identifier of one run of a process, 128 random bits drawn at its start.
 *
 * <p>A restarted process has a new incarnation, so that messages from or to its previous run are
 * not attributed to it.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record Incarnation(long high, long low) {

  private static final int HEX_DIGITS = 32;
  private static final int HEX_DIGITS_PER_LONG = 16;

  /**
   * Draws a random incarnation.
   *
   * @param random the generator; in production it must have at least 128 bits of entropy
   */
  public static Incarnation random(RandomGenerator random) {
    return new Incarnation(random.nextLong(), random.nextLong());
  }

  /**
   * Parses the result of {@link #toString}.
   *
   * @param hex 32 hexadecimal digits
   * @throws IllegalArgumentException if the text is malformed
   */
  public static Incarnation parse(String hex) {
    if (hex.length() != HEX_DIGITS) {
      throw new IllegalArgumentException("an incarnation must have 32 hexadecimal digits");
    }
    return new Incarnation(
        HexFormat.fromHexDigitsToLong(hex, 0, HEX_DIGITS_PER_LONG),
        HexFormat.fromHexDigitsToLong(hex, HEX_DIGITS_PER_LONG, HEX_DIGITS));
  }

  @Override
  public String toString() {
    HexFormat format = HexFormat.of();
    return format.toHexDigits(high) + format.toHexDigits(low);
  }
}
