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

/** Converts values of a YAML file to the types of an item's fields. */
final class FieldReader {

  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  private final Consumer<FileFinding> findings;

  FieldReader(Consumer<FileFinding> findings) {
    this.findings = findings;
  }

  /** Returns the value of a field as JSON, null after a finding. */
  @Nullable JsonNode read(ItemKey item, RecordComponent field, YamlNode value) {
    String name = item + "." + field.getName();
    if (field.getType() == Set.class) {
      Type element = ((ParameterizedType) field.getGenericType()).getActualTypeArguments()[0];
      return list(name, (Class<?>) element, value);
    }
    return single(name, field.getType(), value);
  }

  private @Nullable JsonNode list(String name, Class<?> element, YamlNode value) {
    if (!(value instanceof Sequence sequence)) {
      return fault(value, name, "a list such as [a, b]");
    }
    ArrayNode array = JSON.arrayNode();
    for (YamlNode part : sequence.values()) {
      JsonNode json = single(name, element, part);
      if (json != null) {
        array.add(json);
      }
    }
    return array;
  }

  private @Nullable JsonNode single(String name, Class<?> type, YamlNode value) {
    if (!(value instanceof Scalar scalar)) {
      return fault(value, name, expected(type));
    }
    if (type.isEnum()) {
      return constant(name, type, scalar);
    }
    if (type == boolean.class) {
      boolean isBoolean = scalar.type() == ScalarType.BOOLEAN;
      return isBoolean
          ? JSON.booleanNode(Boolean.parseBoolean(scalar.text()))
          : fault(value, name, expected(type));
    }
    if (type == String.class) {
      return scalar.type() == ScalarType.NULL
          ? fault(value, name, expected(type))
          : JSON.textNode(scalar.text());
    }
    return number(name, type, scalar);
  }

  private @Nullable JsonNode number(String name, Class<?> type, Scalar scalar) {
    if (scalar.type() != ScalarType.INTEGER) {
      return fault(scalar, name, expected(type));
    }
    try {
      long number = Long.parseLong(scalar.text().replace("_", ""));
      boolean isInt = type != long.class;
      return isInt ? JSON.numberNode(Math.toIntExact(number)) : JSON.numberNode(number);
    } catch (NumberFormatException | ArithmeticException e) {
      return fault(scalar, name, "a whole number of usual size");
    }
  }

  private @Nullable JsonNode constant(String name, Class<?> type, Scalar scalar) {
    String wanted = scalar.text().toUpperCase(Locale.ROOT).replace('-', '_');
    for (Object constant : type.getEnumConstants()) {
      if (constant.toString().equals(wanted)) {
        return JSON.textNode(wanted);
      }
    }
    return fault(scalar, name, expected(type));
  }

  private static String expected(Class<?> type) {
    if (type.isEnum()) {
      return "one of " + String.join(", ", labels(type));
    }
    if (type == boolean.class) {
      return "true or false";
    }
    return type == String.class ? "text" : "a whole number";
  }

  private static List<String> labels(Class<?> type) {
    return Arrays.stream(type.getEnumConstants())
        .map(constant -> constant.toString().toLowerCase(Locale.ROOT).replace('_', '-'))
        .toList();
  }

  private @Nullable JsonNode fault(YamlNode value, String name, String expected) {
    findings.accept(
        FileFinding.error(
            value.place(), name + ": expected " + expected + ", found " + value.label()));
    return null;
  }

  /** Returns the end of a message about an unknown name. */
  static String suggestion(String given, List<String> known) {
    return NameSuggestions.closest(given, known)
        .map(name -> "; did you mean '" + name + "'?")
        .orElse("; known are " + String.join(", ", known));
  }
}
