package io.samphiredyke.schema.generator;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.schema.settings.loader.ExitCode;
import io.samphiredyke.schema.settings.loader.Setting;
import io.samphiredyke.schema.settings.loader.SettingsSchema;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Writes the reference page of all settings in Markdown. */
final class SettingsPageWriter {

  private static final String INTRODUCTION =
      """
      # Settings

      Generated from the schemas of the settings; not to be edited (see
      [design/schema.md](design/schema.md)).

      Each setting is a flag and an environment variable. A flag goes before the variable, the
      variable before the default; an empty variable counts as not set. A list is written with
      commas; the flag of a list may also be repeated. All settings are checked together at the
      start: each finding is printed with its flag or variable, and the program ends with code 2.
      Secrets are never printed. Other users of a machine can see flags, so secrets are better given
      by variables.

      Durations have the unit `ms`, `s`, `m` or `h`; sizes have the unit `B`, `KiB`, `MiB` or `GiB`.
      Addresses are IP numbers with a port, such as `10.0.0.1:7800` or `[::1]:7800`.
      """;

  String write(List<SchemaFile> files) {
    StringBuilder page = new StringBuilder(INTRODUCTION);
    for (SchemaFile file : files) {
      writeProgram(page, new SettingsSchema(file.root()));
    }
    page.append("\n## Exit codes\n\n| code | meaning |\n|---|---|\n");
    for (ExitCode code : ExitCode.values()) {
      page.append("| %d | %s |\n".formatted(code.code(), code.description()));
    }
    return page.toString();
  }

  private static void writeProgram(StringBuilder page, SettingsSchema schema) {
    page.append("\n## %s\n\n%s\n".formatted(schema.program(), schema.description()));
    String group = "";
    for (Setting setting : schema.settings()) {
      if (!setting.group().equals(group)) {
        group = setting.group();
        page.append("\n### %s\n\n".formatted(group));
        page.append("| flag and variable | value | default | meaning |\n|---|---|---|---|\n");
      }
      page.append(row(setting));
    }
  }

  private static String row(Setting setting) {
    String defaultText = Objects.requireNonNullElse(setting.defaultText(), "");
    String none = setting.required() ? "required" : "none";
    return "| `%s`<br>`%s` | %s | %s | %s |\n"
        .formatted(
            setting.flag(),
            setting.environmentVariable(),
            value(setting),
            defaultText.isEmpty() ? none : "`" + defaultText + "`",
            setting.description());
  }

  private static String value(Setting setting) {
    JsonNode schema = setting.schema();
    List<String> parts = new ArrayList<>();
    parts.add("`" + setting.valueSyntax().replace("|", "\\|") + "`");
    if (schema.has("x-minimum")) {
      parts.add(range(schema.get("x-minimum"), schema.get("x-maximum")));
    }
    if (schema.has("minimum")) {
      parts.add(range(schema.get("minimum"), schema.get("maximum")));
    }
    if (schema.has("x-pattern-hint")) {
      parts.add(schema.get("x-pattern-hint").asText());
    }
    if (setting.isSecret()) {
      parts.add("secret");
    }
    return String.join(", ", parts);
  }

  private static String range(JsonNode min, JsonNode max) {
    return min.asText() + " to " + max.asText();
  }
}
