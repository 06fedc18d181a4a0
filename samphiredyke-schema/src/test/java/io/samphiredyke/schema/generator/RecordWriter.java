package io.samphiredyke.schema.generator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Generates a Java record with a builder from an object schema. */
final class RecordWriter {

  private static final String IMPORTS =
      """
      import com.fasterxml.jackson.annotation.JsonCreator;
      import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
      import io.samphiredyke.schema.settings.type.NamedKey;
      import java.net.InetSocketAddress;
      import java.nio.file.Path;
      import java.time.Duration;
      import java.util.Arrays;
      import java.util.List;
      import java.util.Objects;
      import org.jspecify.annotations.Nullable;

      """;

  private final String packageName;
  private final boolean strict;

  /**
   * Creates a writer.
   *
   * @param strict whether the values are known to be valid; otherwise the record comes from another
   *     process, perhaps of another version, and has substitutes for absent and unknown values
   */
  RecordWriter(String packageName, boolean strict) {
    this.packageName = packageName;
    this.strict = strict;
  }

  String write(SchemaFile file) {
    String parent = file.messageNumber() > 0 ? " implements PeerMessage" : "";
    return "package "
        + packageName
        + ";\n"
        + IMPORTS
        + record(file.root(), "public record", parent);
  }

  private String record(JsonNode schema, String keywords, String parent) {
    String name = schema.path("title").asText();
    List<SchemaField> fields = SchemaField.fieldsOf(schema, strict);
    String components = join(fields, ", ", f -> f.declaredType() + " " + f.name());
    return javadoc(schema, fields)
        + (strict ? "" : "@JsonIgnoreProperties(ignoreUnknown = true)\n")
        + "%s %s(%s)%s {\n".formatted(keywords, name, components, parent)
        + constructor(name, fields)
        + "/** Returns an empty builder. */\n"
        + "public static Builder builder() { return new Builder(); }\n"
        + "/** Returns a builder with the values of this record. */\n"
        + "public Builder toBuilder() { return new Builder()"
        + join(fields, "", f -> ".%s(%s)".formatted(f.name(), f.name()))
        + "; }\n"
        + arrayMethods(name, fields)
        + join(fields, "", this::nestedType)
        + builder(name, fields)
        + "}\n";
  }

  private static String javadoc(JsonNode schema, List<SchemaField> fields) {
    return "/** %s\n *\n".formatted(toJavadoc(summary(schema)))
        + join(fields, "", f -> " * @param %s %s\n".formatted(f.name(), toJavadoc(f.description())))
        + " */\n";
  }

  private static String summary(JsonNode schema) {
    if (schema.has("x-program")) {
      return "Settings of `" + schema.get("x-program").asText() + "`.";
    }
    return schema.path("description").asText();
  }

  static String toJavadoc(String markdown) {
    return markdown.replaceAll("`([^`]*)`", "{@code $1}");
  }

  private String constructor(String name, List<SchemaField> fields) {
    String body = join(fields, "", SchemaField::normalisationStatement);
    if (body.isEmpty()) {
      return "";
    }
    String doc =
        strict
            ? "Checks that required values are present and copies lists."
            : "Replaces absent values and copies lists.";
    return "/** %s */\npublic %s {\n%s}\n".formatted(doc, name, body);
  }

  private String nestedType(SchemaField field) {
    JsonNode declaration = field.declaration();
    if (declaration.has("enum")) {
      return enumeration(declaration, field);
    }
    if (declaration.path("type").asText().equals("object")) {
      return record(declaration, "public record", "");
    }
    return "";
  }

  private String enumeration(JsonNode schema, SchemaField field) {
    String name = field.javaType().replace("List<", "").replace(">", "");
    String constants =
        SchemaField.textValues(schema.path("enum")).stream()
            .map(SchemaField::constant)
            .collect(Collectors.joining(", "));
    String doc = "/** " + toJavadoc(field.description()) + " */\n";
    if (strict) {
      return doc + "public enum %s { %s }\n".formatted(name, constants);
    }
    String template =
        """
        public enum %1$s {
          %2$s,
          /** A value that is absent or unknown to this version. */
          UNRECOGNIZED;

          /** Returns the constant with the name, or {@link #UNRECOGNIZED} if there is none. */
          @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
          public static %1$s of(@Nullable String name) {
            for (%1$s value : values()) {
              if (value.name().equals(name)) {
                return value;
              }
            }
            return UNRECOGNIZED;
          }
        }
        """;
    return doc + template.formatted(name, constants);
  }

  /** Generates methods that compare arrays by content, because records compare them by identity. */
  private static String arrayMethods(String name, List<SchemaField> fields) {
    if (fields.stream().noneMatch(SchemaField::isArray)) {
      return "";
    }
    String equal = join(fields, " && ", RecordWriter::equality);
    String hash =
        join(fields, ", ", f -> f.isArray() ? "Arrays.hashCode(%s)".formatted(f.name()) : f.name());
    String text =
        join(
            fields,
            " + \", ",
            f ->
                f.name()
                    + "=\" + "
                    + (f.isArray() ? "Arrays.toString(%s)".formatted(f.name()) : f.name()));
    return "@Override public boolean equals(@Nullable Object other) { return other instanceof "
        + "%s that && %s; }\n".formatted(name, equal)
        + "@Override public int hashCode() { return Objects.hash(%s); }\n".formatted(hash)
        + "@Override public String toString() { return \"%s[%s + \"]\"; }\n".formatted(name, text);
  }

  private static String equality(SchemaField field) {
    String method = field.isArray() ? "Arrays.equals" : "Objects.equals";
    return "%s(%s, that.%s)".formatted(method, field.name(), field.name());
  }

  private static String builder(String name, List<SchemaField> fields) {
    return "/** Builder of {@link %s}. */\npublic static final class Builder {\n".formatted(name)
        + join(
            fields,
            "",
            f -> "private %s %s = %s;\n".formatted(builderType(f), f.name(), f.valueIfAbsent()))
        + "private Builder() {}\n"
        + join(fields, "", RecordWriter::setter)
        + "/** Returns the record. */\npublic %s build() { return new %s(%s); }\n}\n"
            .formatted(name, name, join(fields, ", ", SchemaField::name));
  }

  private static String builderType(SchemaField field) {
    return field.valueIfAbsent().equals("null")
        ? "@Nullable " + field.javaType()
        : field.javaType();
  }

  private static String setter(SchemaField field) {
    return "/** %s */\npublic Builder %s(%s %s) { this.%s = %s; return this; }\n"
        .formatted(
            toJavadoc(field.description()),
            field.name(),
            field.declaredType(),
            field.name(),
            field.name(),
            field.name());
  }

  private static String join(
      List<SchemaField> fields, String separator, Function<SchemaField, String> writer) {
    return fields.stream().map(writer).collect(Collectors.joining(separator));
  }
}
