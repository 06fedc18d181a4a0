package io.samphiredyke.schema.settings.loader;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations and data sizes with units. */
final class QuantityParser {

  private static final Pattern QUANTITY = Pattern.compile("(\\d{1,9})([A-Za-z]+)");
  private static final Map<String, Duration> DURATION_UNITS =
      Map.of(
          "ms", Duration.ofMillis(1),
          "s", Duration.ofSeconds(1),
          "m", Duration.ofMinutes(1),
          "h", Duration.ofHours(1));
  private static final Map<String, Long> SIZE_UNITS_BYTES =
      Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

  private QuantityParser() {}

  /** Parses an integer with the unit {@code ms}, {@code s}, {@code m} or {@code h}. */
  static Duration parseDuration(String text) {
    Matcher matcher = QUANTITY.matcher(text);
    Duration unit = matcher.matches() ? DURATION_UNITS.get(matcher.group(2)) : null;
    if (unit == null) {
      throw malformed("ms, s, m or h, such as 500ms", text);
    }
    return unit.multipliedBy(Long.parseLong(matcher.group(1)));
  }

  /**
   * Parses an integer with the unit {@code B}, {@code KiB}, {@code MiB} or {@code GiB} to bytes.
   */
  static Long parseDataSize(String text) {
    Matcher matcher = QUANTITY.matcher(text);
    Long unit = matcher.matches() ? SIZE_UNITS_BYTES.get(matcher.group(2)) : null;
    if (unit == null) {
      throw malformed("B, KiB, MiB or GiB, such as 8MiB", text);
    }
    return unit * Long.parseLong(matcher.group(1));
  }

  private static IllegalArgumentException malformed(String units, String text) {
    return new IllegalArgumentException(
        "expected an integer with the unit " + units + ", not '" + text + "'");
  }
}
