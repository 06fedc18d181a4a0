package io.samphiredyke.schema.settings.loader;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Merges flags, environment variables and defaults, and collects what is wrong with them. */
final class SettingsReader {

  private final SettingsSchema schema;
  private final Map<String, String> flags;
  private final Map<String, String> environment;
  private final List<SettingsFinding> findings = new ArrayList<>();
  private final Map<String, Object> values = new HashMap<>();
  private final Map<String, String> places = new HashMap<>();

  /**
   * Creates a reader.
   *
   * @param flags the texts given by flags, by the name of the setting
   * @param environment the environment variables; an empty one counts as not set
   */
  SettingsReader(
      SettingsSchema schema, Map<String, String> flags, Map<String, String> environment) {
    this.schema = schema;
    this.flags = flags;
    this.environment = new TreeMap<>(environment);
    this.environment.values().removeIf(String::isEmpty);
  }

  /** Returns the values by the name of the setting; settings without a value are absent. */
  Map<String, Object> values() {
    return values;
  }

  List<SettingsFinding> read() {
    schema.settings().forEach(this::readSetting);
    checkDependencies();
    checkOrder();
    findUnknownVariables();
    return findings;
  }

  private void readSetting(Setting setting) {
    String place =
        flags.containsKey(setting.name()) ? setting.flag() : setting.environmentVariable();
    String text = text(setting);
    places.put(setting.name(), place);
    if (text == null) {
      if (setting.required()) {
        String message = "is missing; or set " + setting.environmentVariable();
        findings.add(new SettingsFinding(setting.flag(), message));
      }
      return;
    }
    try {
      values.put(setting.name(), ValueParser.parse(setting.schema(), text));
    } catch (IllegalArgumentException e) {
      findings.add(new SettingsFinding(place, Objects.toString(e.getMessage())));
    }
  }

  private @Nullable String text(Setting setting) {
    if (flags.containsKey(setting.name())) {
      return flags.get(setting.name());
    }
    String text = environment.get(setting.environmentVariable());
    return text != null ? text : setting.defaultText();
  }

  private void checkDependencies() {
    for (var entry : schema.root().path("dependentRequired").properties()) {
      if (!isGiven(entry.getKey())) {
        continue;
      }
      for (String needed : ValueParser.texts(entry.getValue())) {
        if (!isGiven(needed)) {
          String message = "needs " + flag(needed) + " as well";
          findings.add(new SettingsFinding(place(entry.getKey()), message));
        }
      }
    }
  }

  private boolean isGiven(String name) {
    JsonNode property = schema.root().path("properties").path(name);
    return flags.containsKey(name) || environment.containsKey(property.path("x-env").asText());
  }

  private void checkOrder() {
    for (var entry : schema.root().path("x-less-than").properties()) {
      String greaterName = entry.getValue().asText();
      Object less = values.get(entry.getKey());
      Object greater = values.get(greaterName);
      if (less != null && greater != null && compare(less, greater) >= 0) {
        String message = "must be less than " + flag(greaterName);
        findings.add(new SettingsFinding(place(entry.getKey()), message));
      }
    }
  }

  @SuppressWarnings("unchecked")
  private static int compare(Object less, Object greater) {
    return ((Comparable<Object>) less).compareTo(greater);
  }

  private void findUnknownVariables() {
    List<String> known = schema.settings().stream().map(Setting::environmentVariable).toList();
    for (String variable : environment.keySet()) {
      if (variable.startsWith(schema.variablePrefix()) && !known.contains(variable)) {
        findings.add(new SettingsFinding(variable, "there is no such setting"));
      }
    }
  }

  private String place(String name) {
    return places.getOrDefault(name, flag(name));
  }

  private String flag(String name) {
    return schema.root().path("properties").path(name).path("x-flag").asText();
  }
}
