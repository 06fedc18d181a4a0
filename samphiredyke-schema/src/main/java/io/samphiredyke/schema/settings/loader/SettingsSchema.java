package io.samphiredyke.schema.settings.loader;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;

/**
 * The schema of the settings of a program.
 *
 * @param root the content of the schema file
 */
public record SettingsSchema(JsonNode root) {

  private static final String SUFFIX = "Settings";

  /** Loads the schema from which a settings record was generated. */
  public static SettingsSchema of(Class<? extends Record> settingsClass) {
    String resource = "/schema/settings/" + fileName(settingsClass.getSimpleName());
    try (InputStream input = SettingsSchema.class.getResourceAsStream(resource)) {
      if (input == null) {
        throw new IllegalArgumentException("missing schema " + resource);
      }
      return new SettingsSchema(new ObjectMapper().readTree(input));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String fileName(String className) {
    String name = className.substring(0, className.length() - SUFFIX.length());
    String kebab = name.replaceAll("(?<!^)(?=[A-Z])", "-");
    return kebab.toLowerCase(Locale.ROOT) + ".json";
  }

  /** Returns the settings in the order of the file. */
  public List<Setting> settings() {
    List<String> required = ValueParser.textValues(root.path("required"));
    return root.path("properties").properties().stream()
        .map(property -> toSetting(property.getKey(), property.getValue(), required))
        .toList();
  }

  private static Setting toSetting(String name, JsonNode schema, List<String> required) {
    return new Setting(name, required.contains(name), schema);
  }

  /** Returns the name of the program. */
  public String program() {
    return root.path("x-program").asText();
  }

  /** Returns the description of the program. */
  public String description() {
    return root.path("description").asText();
  }

  /** Returns the common prefix of the environment variables of the program. */
  public String variablePrefix() {
    return root.path("x-env-prefix").asText();
  }
}
