package io.samphiredyke.cli.files;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.samphiredyke.cli.files.YamlNode.Scalar;
import io.samphiredyke.cli.files.YamlNode.ScalarType;
import io.samphiredyke.cli.files.YamlNode.Sequence;
import io.samphiredyke.core.config.ItemKey;
import io.samphiredyke.core.config.NameSuggestions;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Converts YAML values to the types of an item's fields. */
final class FieldReader {

  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  private final Consumer<FileFinding> findings;

  FieldReader(Consumer<FileFinding> findings) {
    this.findings = findings;
  }

  /** Returns the value of a field as JSON; reports a finding and returns null on a mismatch. */
  @Nullable JsonNode read(ItemKey item, RecordComponent field, YamlNode value) {
    String path = item + "." + field.getName();
    if (field.getType() == Set.class) {
      Type element = ((ParameterizedType) field.getGenericType()).getActualTypeArguments()[0];
      return readList(path, (Class<?>) element, value);
    }
    return readScalar(path, field.getType(), value);
  }

  private @Nullable JsonNode readList(String path, Class<?> element, YamlNode value) {
    if (!(value instanceof Sequence sequence)) {
      return reportMismatch(value, path, "a list such as [a, b]");
    }
    ArrayNode array = JSON.arrayNode();
    for (YamlNode part : sequence.values()) {
      JsonNode json = readScalar(path, element, part);
      if (json != null) {
        array.add(json);
      }
    }
    return array;
  }

  private @Nullable JsonNode readScalar(String path, Class<?> type, YamlNode value) {
    if (!(value instanceof Scalar scalar)) {
      return reportMismatch(value, path, expectedValue(type));
    }
    if (type.isEnum()) {
      return readEnumConstant(path, type, scalar);
    }
    if (type == boolean.class) {
      boolean isBoolean = scalar.type() == ScalarType.BOOLEAN;
      return isBoolean
          ? JSON.booleanNode(Boolean.parseBoolean(scalar.text()))
          : reportMismatch(value, path, expectedValue(type));
    }
    if (type == String.class) {
      return scalar.type() == ScalarType.NULL
          ? reportMismatch(value, path, expectedValue(type))
          : JSON.textNode(scalar.text());
    }
    return readInteger(path, type, scalar);
  }

  private @Nullable JsonNode readInteger(String path, Class<?> type, Scalar scalar) {
    if (scalar.type() != ScalarType.INTEGER) {
      return reportMismatch(scalar, path, expectedValue(type));
    }
    try {
      long number = Long.parseLong(scalar.text().replace("_", ""));
      boolean isInt = type != long.class;
      return isInt ? JSON.numberNode(Math.toIntExact(number)) : JSON.numberNode(number);
    } catch (NumberFormatException | ArithmeticException e) {
      return reportMismatch(scalar, path, "an integer in the range of the type");
    }
  }

  private @Nullable JsonNode readEnumConstant(String path, Class<?> type, Scalar scalar) {
    String constantName = scalar.text().toUpperCase(Locale.ROOT).replace('-', '_');
    for (Object constant : type.getEnumConstants()) {
      if (constant.toString().equals(constantName)) {
        return JSON.textNode(constantName);
      }
    }
    return reportMismatch(scalar, path, expectedValue(type));
  }

  private static String expectedValue(Class<?> type) {
    if (type.isEnum()) {
      return "one of " + String.join(", ", enumLabels(type));
    }
    if (type == boolean.class) {
      return "true or false";
    }
    return type == String.class ? "text" : "an integer";
  }

  private static List<String> enumLabels(Class<?> type) {
    return Arrays.stream(type.getEnumConstants())
        .map(constant -> constant.toString().toLowerCase(Locale.ROOT).replace('_', '-'))
        .toList();
  }

  private @Nullable JsonNode reportMismatch(YamlNode value, String path, String expected) {
    findings.accept(
        FileFinding.error(
            value.location(), path + ": expected " + expected + ", found " + value.describe()));
    return null;
  }

  /** Returns the suffix of an error message that suggests known names for an unknown one. */
  static String suggestion(String unknownName, List<String> knownNames) {
    return NameSuggestions.closest(unknownName, knownNames)
        .map(name -> "; did you mean '" + name + "'?")
        .orElse("; known names: " + String.join(", ", knownNames));
  }
}
