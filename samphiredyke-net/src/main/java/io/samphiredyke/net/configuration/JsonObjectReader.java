package io.samphiredyke.net.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.ItemKind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads the members of a JSON object and reports invalid ones with their path. */
final class JsonObjectReader {

  /** Converts a JSON object to a value. */
  @FunctionalInterface
  interface Converter<T> {
    T convert(JsonObjectReader reader) throws ConfigurationFormatException;
  }

  private final JsonNode json;
  private final String path;

  JsonObjectReader(JsonNode json, String path) throws ConfigurationFormatException {
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

  JsonObjectReader object(String name) throws ConfigurationFormatException {
    return new JsonObjectReader(member(name), pathTo(name));
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
      throw new ConfigurationFormatException(pathTo(name), "must be an integer");
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

  <E extends Enum<E>> E enumConstant(String name, Class<E> type)
      throws ConfigurationFormatException {
    String value = text(name);
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equals(value)) {
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
      String invalidPath = pathTo(name) + e.path();
      String message = e.getMessage();
      throw new ConfigurationFormatException(
          invalidPath, message == null ? "is malformed" : message);
    }
  }

  <T> List<T> list(String name, Converter<T> converter) throws ConfigurationFormatException {
    JsonNode member = member(name);
    if (!member.isArray()) {
      throw new ConfigurationFormatException(pathTo(name), "must be a list");
    }
    List<T> values = new ArrayList<>();
    for (int i = 0; i < member.size(); i++) {
      values.add(converter.convert(new JsonObjectReader(member.get(i), pathTo(name) + "/" + i)));
    }
    return values;
  }

  private String pathTo(String name) {
    return path + "/" + name;
  }
}
