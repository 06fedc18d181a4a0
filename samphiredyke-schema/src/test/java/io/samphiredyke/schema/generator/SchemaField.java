package io.samphiredyke.schema.generator;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.schema.settings.loader.ValueParser;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.StreamSupport;

/** A property of an object schema with its Java type. */
record SchemaField(
    String name, String javaType, boolean nullable, boolean strict, JsonNode schema) {

  private static final Set<String> PRIMITIVES = Set.of("int", "long", "boolean", "double");

  /** Returns the fields of an object schema in the order of the file. */
  static List<SchemaField> fieldsOf(JsonNode object, boolean strict) {
    List<SchemaField> fields = new ArrayList<>();
    List<String> required = textValues(object.path("required"));
    for (var entry : object.path("properties").properties()) {
      String type = javaType(entry.getKey(), entry.getValue());
      boolean absentAllowed = !required.contains(entry.getKey());
      boolean nullable = absentAllowed && !PRIMITIVES.contains(type) && !type.startsWith("List<");
      fields.add(new SchemaField(entry.getKey(), type, nullable, strict, entry.getValue()));
    }
    return fields;
  }

  static List<String> textValues(JsonNode array) {
    return StreamSupport.stream(array.spliterator(), false).map(JsonNode::asText).toList();
  }

  private static String javaType(String name, JsonNode schema) {
    if (schema.has("$ref")) {
      return camelCase(schema.get("$ref").asText().replace(".json", ""));
    }
    return switch (schema.path("type").asText()) {
      case "string" -> stringType(name, schema);
      case "integer" -> schema.path("format").asText().equals("int32") ? "int" : "long";
      case "number" -> "double";
      case "boolean" -> "boolean";
      case "object" -> schema.path("title").asText();
      case "array" -> arrayType(name, schema.path("items"));
      default -> throw new IllegalArgumentException("unsupported type of property " + name);
    };
  }

  private static String arrayType(String name, JsonNode items) {
    String itemType = javaType(name, items);
    return itemType.equals("long") ? "long[]" : "List<" + itemType + ">";
  }

  private static String stringType(String name, JsonNode schema) {
    if (schema.has("enum")) {
      return schema.path("title").asText(camelCase(name));
    }
    return switch (schema.path("format").asText()) {
      case "" -> "String";
      case "duration" -> "Duration";
      case "data-size" -> "long";
      case "ip-port", "listen-address", "http-address" -> "InetSocketAddress";
      case "path" -> "Path";
      case "key" -> "NamedKey";
      default -> throw new IllegalArgumentException("unknown format of property " + name);
    };
  }

  static String camelCase(String kebab) {
    StringBuilder result = new StringBuilder();
    for (String word : kebab.split("-", -1)) {
      result.append(word.substring(0, 1).toUpperCase(Locale.ROOT)).append(word.substring(1));
    }
    return result.toString();
  }

  String description() {
    return schema.path("description").asText();
  }

  boolean isList() {
    return javaType.startsWith("List<");
  }

  boolean isArray() {
    return javaType.endsWith("[]");
  }

  boolean isEnum() {
    return schema.has("enum");
  }

  /** Returns the schema of the nested type: that of the list items, or else that of the field. */
  JsonNode declaration() {
    return schema.has("items") ? schema.get("items") : schema;
  }

  String declaredType() {
    return nullable ? "@Nullable " + javaType : javaType;
  }

  /** Returns the value for an absent property, as a Java expression. */
  String valueIfAbsent() {
    if (nullable) {
      return "null";
    }
    if (schema.has("default")) {
      return defaultValue();
    }
    return switch (javaType) {
      case "int", "long", "double" -> "0";
      case "boolean" -> "false";
      case "String" -> "\"\"";
      default -> isList() ? "List.of()" : isArray() ? "new long[0]" : enumOrNull();
    };
  }

  private String defaultValue() {
    String text = schema.get("default").asText();
    Object value = ValueParser.parse(schema, text);
    if (isEnum()) {
      return javaType + "." + constant(text);
    }
    if (value instanceof Duration duration) {
      return "Duration.ofMillis(" + duration.toMillis() + ")";
    }
    if (value instanceof Long) {
      return value + "L";
    }
    return value instanceof String ? "\"" + text + "\"" : String.valueOf(value);
  }

  static String constant(String text) {
    return text.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  private String enumOrNull() {
    return isEnum() && !strict ? javaType + ".UNRECOGNIZED" : "null";
  }

  /** Returns the constructor statement that normalises the component, or an empty text. */
  String normalisationStatement() {
    if (PRIMITIVES.contains(javaType) || nullable) {
      return "";
    }
    if (isList()) {
      return name + " = " + name + " == null ? List.of() : List.copyOf(" + name + ");";
    }
    if (strict || valueIfAbsent().equals("null")) {
      return "Objects.requireNonNull(" + name + ", \"" + name + "\");";
    }
    return name + " = " + name + " == null ? " + valueIfAbsent() + " : " + name + ";";
  }
}
