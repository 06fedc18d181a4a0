package io.samphiredyke.cli.files;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.samphiredyke.cli.files.YamlNode.Entry;
import io.samphiredyke.cli.files.YamlNode.Mapping;
import io.samphiredyke.core.config.Defaults;
import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.ItemKey;
import io.samphiredyke.core.config.ItemKind;
import io.samphiredyke.net.configuration.ConfigurationFormatException;
import io.samphiredyke.net.configuration.ItemCodec;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Parses YAML files into items; reports unknown and duplicate keys and values of the wrong type.
 */
final class FileParser {

  private static final String NAME = "name";

  private static final Map<String, ItemKind> SECTIONS = sections();

  private final Consumer<FileFinding> findings;
  private final ItemLocations locations = new ItemLocations();
  private final SortedMap<ItemKey, Item> items = new TreeMap<>();
  private final FieldReader fields;

  FileParser(Consumer<FileFinding> findings) {
    this.findings = findings;
    this.fields = new FieldReader(findings);
  }

  private static Map<String, ItemKind> sections() {
    Map<String, ItemKind> sections = new LinkedHashMap<>();
    sections.put("defaults", ItemKind.DEFAULTS);
    sections.put("tiers", ItemKind.TIER);
    sections.put("dataCentres", ItemKind.DATA_CENTRE);
    sections.put("customers", ItemKind.CUSTOMER);
    sections.put("services", ItemKind.SERVICE);
    sections.put("endpoints", ItemKind.ENDPOINT);
    sections.put("placements", ItemKind.PLACEMENT);
    return sections;
  }

  SortedMap<ItemKey, Item> items() {
    return items;
  }

  ItemLocations locations() {
    return locations;
  }

  void parse(String file, String text) {
    YamlNode root = YamlReader.read(file, text, findings);
    if (root == null) {
      return;
    }
    if (!(root instanceof Mapping mapping)) {
      addError(root.location(), "expected sections such as 'services:', found " + root.describe());
      return;
    }
    for (Entry section : mapping.entries()) {
      parseSection(section);
    }
  }

  private void parseSection(Entry section) {
    ItemKind kind = SECTIONS.get(section.key());
    if (kind == null) {
      String suggestion = FieldReader.suggestion(section.key(), List.copyOf(SECTIONS.keySet()));
      addError(section.location(), "unknown section '" + section.key() + "'" + suggestion);
      return;
    }
    if (kind == ItemKind.DEFAULTS) {
      parseItem(kind, new Entry(section.location(), Defaults.NAME, section.value()));
      return;
    }
    if (!(section.value() instanceof Mapping mapping)) {
      String found = section.value().describe();
      addError(
          section.value().location(),
          section.key() + ": expected names with their fields, found " + found);
      return;
    }
    mapping.entries().forEach(entry -> parseItem(kind, entry));
  }

  private void parseItem(ItemKind kind, Entry entry) {
    ItemKey key = new ItemKey(kind, entry.key());
    SourceLocation firstLocation = locations.add(key, entry.location());
    if (firstLocation != null) {
      addError(entry.location(), key + " is already defined at " + firstLocation);
      return;
    }
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put(NAME, entry.key());
    if (entry.value() instanceof Mapping mapping) {
      mapping.entries().forEach(field -> parseField(key, field, json));
    } else {
      addError(
          entry.value().location(), key + ": expected fields, found " + entry.value().describe());
      locations.markInvalid(key, ItemLocations.ALL_FIELDS);
    }
    addItem(key, entry.location(), json);
  }

  private void parseField(ItemKey key, Entry field, ObjectNode json) {
    RecordComponent component = findComponent(key.kind(), field.key());
    if (component == null) {
      List<String> knownFields =
          ItemCodec.fields(key.kind()).stream().filter(name -> !name.equals(NAME)).toList();
      String suggestion = FieldReader.suggestion(field.key(), knownFields);
      addError(field.location(), key + ": unknown field '" + field.key() + "'" + suggestion);
      return;
    }
    SourceLocation firstLocation = locations.add(key, field.key(), field.value().location());
    if (firstLocation != null) {
      addError(
          field.location(),
          key + ": field '" + field.key() + "' is already set at " + firstLocation);
      return;
    }
    JsonNode value = fields.read(key, component, field.value());
    if (value == null) {
      locations.markInvalid(key, field.key());
      return;
    }
    json.set(field.key(), value);
  }

  private static @Nullable RecordComponent findComponent(ItemKind kind, String name) {
    return Arrays.stream(kind.itemClass().getRecordComponents())
        .filter(component -> component.getName().equals(name) && !name.equals(NAME))
        .findFirst()
        .orElse(null);
  }

  private void addItem(ItemKey key, SourceLocation location, ObjectNode json) {
    try {
      items.put(key, ItemCodec.fromJson(key.kind(), json));
    } catch (ConfigurationFormatException e) {
      addError(location, key + ": " + e.getMessage());
    }
  }

  private void addError(SourceLocation location, String message) {
    findings.accept(FileFinding.error(location, message));
  }
}
