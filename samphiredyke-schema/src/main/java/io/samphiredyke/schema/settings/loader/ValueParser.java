package io.samphiredyke.schema.settings.loader;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.schema.settings.type.NamedKey;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.StreamSupport;

/** Parses the text of a value according to its schema. */
public final class ValueParser {

  private ValueParser() {}

  /**
   * Parses a value.
   *
   * @return the value, with the type that the generated settings record uses for the schema; an
   *     enum constant is returned as text
   * @throws IllegalArgumentException if the text is invalid; the message describes the expected
   *     value
   */
  public static Object parse(JsonNode schema, String text) {
    return switch (schema.path("type").asText()) {
      case "array" -> parseList(schema, text);
      case "integer" -> parseInteger(schema, text);
      case "boolean" -> parseBoolean(text);
      case "number" -> parseNumber(schema, text);
      default -> parseString(schema, text);
    };
  }

  private static List<Object> parseList(JsonNode schema, String text) {
    List<Object> values = new ArrayList<>();
    for (String item : text.split(",", -1)) {
      values.add(parse(schema.path("items"), item.strip()));
    }
    return values;
  }

  private static Object parseInteger(JsonNode schema, String text) {
    long value;
    try {
      value = Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("expected an integer, not '" + text + "'", e);
    }
    boolean isInt = schema.path("format").asText().equals("int32");
    long min = schema.path("minimum").asLong(isInt ? Integer.MIN_VALUE : Long.MIN_VALUE);
    long max = schema.path("maximum").asLong(isInt ? Integer.MAX_VALUE : Long.MAX_VALUE);
    if (value < min || value > max) {
      throw new IllegalArgumentException(
          outOfRangeMessage(text, String.valueOf(min), String.valueOf(max)));
    }
    return isInt ? (Object) (int) value : (Object) value;
  }

  private static double parseNumber(JsonNode schema, String text) {
    double value;
    try {
      value = Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("expected a number, not '" + text + "'", e);
    }
    double min = schema.path("minimum").asDouble(-Double.MAX_VALUE);
    double max = schema.path("maximum").asDouble(Double.MAX_VALUE);
    if (!(value >= min && value <= max)) {
      throw new IllegalArgumentException(
          outOfRangeMessage(text, String.valueOf(min), String.valueOf(max)));
    }
    return value;
  }

  private static boolean parseBoolean(String text) {
    return switch (text) {
      case "true" -> true;
      case "false" -> false;
      default -> throw new IllegalArgumentException("expected true or false, not '" + text + "'");
    };
  }

  private static Object parseString(JsonNode schema, String text) {
    return switch (schema.path("format").asText()) {
      case "duration" -> bounded(schema, text, QuantityParser::parseDuration);
      case "data-size" -> bounded(schema, text, QuantityParser::parseDataSize);
      case "listen-address" -> AddressParser.parse(text, 0);
      case "ip-port" -> AddressParser.parse(text, 1);
      case "http-address" -> AddressParser.parseHttp(text);
      case "path" -> parseReadableFile(text);
      case "key" -> NamedKey.parse(text);
      default -> parsePlainText(schema, text);
    };
  }

  private static <T extends Comparable<T>> T bounded(
      JsonNode schema, String text, Function<String, T> parser) {
    T value = parser.apply(text);
    String min = schema.path("x-minimum").asText();
    String max = schema.path("x-maximum").asText();
    if (value.compareTo(parser.apply(min)) < 0 || value.compareTo(parser.apply(max)) > 0) {
      throw new IllegalArgumentException(outOfRangeMessage(text, min, max));
    }
    return value;
  }

  private static Path parseReadableFile(String text) {
    try {
      Path path = Path.of(text);
      if (Files.isReadable(path) && !Files.isDirectory(path)) {
        return path;
      }
    } catch (InvalidPathException e) {
      throw new IllegalArgumentException("'" + text + "' is not a valid file name", e);
    }
    throw new IllegalArgumentException("no readable file '" + text + "'");
  }

  private static String parsePlainText(JsonNode schema, String text) {
    if (schema.has("enum") && !textValues(schema.get("enum")).contains(text)) {
      String allowed = String.join(", ", textValues(schema.get("enum")));
      throw new IllegalArgumentException("expected one of " + allowed + ", not '" + text + "'");
    }
    if (schema.has("pattern") && !text.matches(schema.get("pattern").asText())) {
      String hint = schema.path("x-pattern-hint").asText();
      throw new IllegalArgumentException("expected " + hint + ", not '" + text + "'");
    }
    return text;
  }

  private static String outOfRangeMessage(String text, String min, String max) {
    return text + " is not in the range " + min + " to " + max;
  }

  static List<String> textValues(JsonNode array) {
    return StreamSupport.stream(array.spliterator(), false).map(JsonNode::asText).toList();
  }
}
