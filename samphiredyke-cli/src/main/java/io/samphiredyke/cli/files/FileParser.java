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
 * Parses files into items, and reports each unknown or repeated key and each value of a wrong type.
 */
final class FileParser {

  private static final String NAME = "name";

  private static final Map<String, ItemKind> SECTIONS = sections();

  private final Consumer<FileFinding> findings;
  private final ItemPlaces places = new ItemPlaces();
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

  ItemPlaces places() {
    return places;
  }

  void parse(String file, String text) {
    YamlNode root = YamlReader.read(file, text, findings);
    if (root == null) {
      return;
    }
    if (!(root instanceof Mapping mapping)) {
      error(root.place(), "expected sections such as 'services:', found " + root.label());
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
      error(section.place(), "unknown section '" + section.key() + "'" + suggestion);
      return;
    }
    if (kind == ItemKind.DEFAULTS) {
      parseItem(kind, new Entry(section.place(), Defaults.NAME, section.value()));
      return;
    }
    if (!(section.value() instanceof Mapping mapping)) {
      String found = section.value().label();
      error(
          section.value().place(),
          section.key() + ": expected names with their fields, found " + found);
      return;
    }
    mapping.entries().forEach(entry -> parseItem(kind, entry));
  }

  private void parseItem(ItemKind kind, Entry entry) {
    ItemKey key = new ItemKey(kind, entry.key());
    Place earlier = places.add(key, entry.place());
    if (earlier != null) {
      error(entry.place(), key + " is already defined at " + earlier);
      return;
    }
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put(NAME, entry.key());
    if (entry.value() instanceof Mapping mapping) {
      mapping.entries().forEach(field -> parseField(key, field, json));
    } else {
      error(entry.value().place(), key + ": expected fields, found " + entry.value().label());
      places.markFaulty(key, ItemPlaces.ANY_FIELD);
    }
    add(key, entry.place(), json);
  }

  private void parseField(ItemKey key, Entry field, ObjectNode json) {
    RecordComponent component = component(key.kind(), field.key());
    if (component == null) {
      List<String> known =
          ItemCodec.fields(key.kind()).stream().filter(name -> !name.equals(NAME)).toList();
      String suggestion = FieldReader.suggestion(field.key(), known);
      error(field.place(), key + ": unknown field '" + field.key() + "'" + suggestion);
      return;
    }
    Place earlier = places.add(key, field.key(), field.value().place());
    if (earlier != null) {
      error(field.place(), key + ": field '" + field.key() + "' is already set at " + earlier);
      return;
    }
    JsonNode value = fields.read(key, component, field.value());
    if (value == null) {
      places.markFaulty(key, field.key());
      return;
    }
    json.set(field.key(), value);
  }

  private static @Nullable RecordComponent component(ItemKind kind, String name) {
    return Arrays.stream(kind.itemClass().getRecordComponents())
        .filter(component -> component.getName().equals(name) && !name.equals(NAME))
        .findFirst()
        .orElse(null);
  }

  private void add(ItemKey key, Place place, ObjectNode json) {
    try {
      items.put(key, ItemCodec.fromJson(key.kind(), json));
    } catch (ConfigurationFormatException e) {
      error(place, key + ": " + e.getMessage());
    }
  }

  private void error(Place place, String message) {
    findings.accept(FileFinding.error(place, message));
  }
}
