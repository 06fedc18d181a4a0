package io.samphiredyke.schema.settings.loader;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * The definition of a setting.
 *
 * @param name name of the property
 * @param required whether the setting must have a value
 * @param schema the property's schema
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

  /** Returns the heading under which the setting is listed. */
  public String group() {
    return schema.path("x-group").asText();
  }

  /** Returns what the setting means. */
  public String description() {
    return schema.path("description").asText();
  }

  /** Returns the text of the default, or null if there is none. */
  public @Nullable String defaultText() {
    return schema.has("default") ? schema.get("default").asText() : null;
  }

  /** Returns whether the value must not be printed. */
  public boolean isSecret() {
    return schema.path("x-secret").asBoolean();
  }

  /** Returns whether the value is a list, written with commas. */
  public boolean isList() {
    return schema.path("type").asText().equals("array");
  }

  /** Returns the form of the value for usage texts. */
  public String valueSyntax() {
    JsonNode item = isList() ? schema.path("items") : schema;
    String form = itemForm(item);
    return isList() ? form + "[,...]" : form;
  }

  private static String itemForm(JsonNode item) {
    if (item.has("enum")) {
      return String.join("|", ValueParser.texts(item.path("enum")));
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
