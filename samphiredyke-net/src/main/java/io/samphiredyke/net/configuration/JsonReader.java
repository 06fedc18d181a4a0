package io.samphiredyke.net.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.ItemKind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads members of a JSON object and reports faults with their path. */
final class JsonReader {

  /** Converts an object to a value. */
  @FunctionalInterface
  interface Conversion<T> {
    T convert(JsonReader reader) throws ConfigurationFormatException;
  }

  private final JsonNode json;
  private final String path;

  JsonReader(JsonNode json, String path) throws ConfigurationFormatException {
    if (!json.isObject()) {
      throw new ConfigurationFormatException(path, "must be an object");
    }
    this.json = json;
    this.path = path;
  }

  JsonNode member(String name) {
    JsonNode member = json.get(name);
    return member == null ? MissingNode.getInstance() : member;
  }

  JsonReader object(String name) throws ConfigurationFormatException {
    return new JsonReader(member(name), pathTo(name));
  }

  String text(String name) throws ConfigurationFormatException {
    JsonNode member = member(name);
    if (!member.isTextual()) {
      throw new ConfigurationFormatException(pathTo(name), "must be a string");
    }
    return member.textValue();
  }

  long number(String name) throws ConfigurationFormatException {
    JsonNode member = member(name);
    if (!member.isIntegralNumber() || !member.canConvertToLong()) {
      throw new ConfigurationFormatException(pathTo(name), "must be a whole number");
    }
    return member.longValue();
  }

  boolean flag(String name) throws ConfigurationFormatException {
    JsonNode member = member(name);
    if (!member.isBoolean()) {
      throw new ConfigurationFormatException(pathTo(name), "must be true or false");
    }
    return member.booleanValue();
  }

  <E extends Enum<E>> E constant(String name, Class<E> type) throws ConfigurationFormatException {
    String given = text(name);
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equals(given)) {
        return constant;
      }
    }
    throw new ConfigurationFormatException(
        pathTo(name), "must be one of " + Arrays.toString(type.getEnumConstants()));
  }

  Item item(String name, ItemKind kind) throws ConfigurationFormatException {
    try {
      return ItemCodec.fromJson(kind, member(name));
    } catch (ConfigurationFormatException e) {
      String place = pathTo(name) + e.path();
      String message = e.getMessage();
      throw new ConfigurationFormatException(place, message == null ? "is malformed" : message);
    }
  }

  <T> List<T> list(String name, Conversion<T> conversion) throws ConfigurationFormatException {
    JsonNode member = member(name);
    if (!member.isArray()) {
      throw new ConfigurationFormatException(pathTo(name), "must be a list");
    }
    List<T> values = new ArrayList<>();
    for (int i = 0; i < member.size(); i++) {
      values.add(conversion.convert(new JsonReader(member.get(i), pathTo(name) + "/" + i)));
    }
    return values;
  }

  private String pathTo(String name) {
    return path + "/" + name;
  }
}
