package io.samphiredyke.schema.settings.loader;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * The definition of a setting in a schema.
 *
 * @param name the name of the property
 * @param required whether the setting must have a value
 * @param schema the schema of the property
 */
public record Setting(String name, boolean required, JsonNode schema) {

  /** Returns the flag, such as {@code --peer-address}. */
  public String flag() {
    return schema.path("x-flag").asText();
  }

  /** Returns the name of the environment variable. */
  public String environmentVariable() {
    return schema.path("x-env").asText();
  }

  /** Returns the group under which the help text and the reference page list the setting. */
  public String group() {
    return schema.path("x-group").asText();
  }

  /** Returns the description of the setting. */
  public String description() {
    return schema.path("description").asText();
  }

  /** Returns the default value as text, or null if there is none. */
  public @Nullable String defaultText() {
    return schema.has("default") ? schema.get("default").asText() : null;
  }

  /** Returns whether the value is a secret, which must not be printed. */
  public boolean isSecret() {
    return schema.path("x-secret").asBoolean();
  }

  /** Returns whether the value is a comma-separated list. */
  public boolean isList() {
    return schema.path("type").asText().equals("array");
  }

  /** Returns the syntax of the value for usage texts. */
  public String valueSyntax() {
    JsonNode item = isList() ? schema.path("items") : schema;
    String syntax = itemSyntax(item);
    return isList() ? syntax + "[,...]" : syntax;
  }

  private static String itemSyntax(JsonNode item) {
    if (item.has("enum")) {
      return String.join("|", ValueParser.textValues(item.path("enum")));
    }
    return switch (item.path("format").asText()) {
      case "duration" -> "DURATION";
      case "data-size" -> "SIZE";
      case "ip-port", "listen-address", "http-address" -> "IP:PORT";
      case "path" -> "FILE";
      case "key" -> "ID:HEX";
      case "int32", "int64" -> "N";
      default -> item.path("type").asText().equals("boolean") ? "true|false" : "TEXT";
    };
  }
}
