package io.samphiredyke.core.ownership;

import java.util.HexFormat;
import java.util.random.RandomGenerator;

/**
 * Identity of one run of a process, 128 random bits drawn at its start.
 *
 * <p>A restarted process has another incarnation, so nothing that was said to the former run is
 * taken for its own.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record Incarnation(long high, long low) {

  private static final int HEX_DIGITS = 32;
  private static final int HEX_DIGITS_PER_LONG = 16;

  /**
   * Draws an incarnation.
   *
   * @param random a generator with at least 128 bits of entropy in production
   */
  public static Incarnation random(RandomGenerator random) {
    return new Incarnation(random.nextLong(), random.nextLong());
  }

  /**
   * Parses the form that {@link #toString} gives.
   *
   * @param hex 32 hexadecimal digits
   * @throws IllegalArgumentException if the text has another form
   */
  public static Incarnation parse(String hex) {
    if (hex.length() != HEX_DIGITS) {
      throw new IllegalArgumentException("an incarnation has 32 hexadecimal digits");
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
