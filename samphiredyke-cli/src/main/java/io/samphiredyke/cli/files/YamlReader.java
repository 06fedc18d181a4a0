package io.samphiredyke.cli.files;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.samphiredyke.cli.files.YamlNode.Entry;
import io.samphiredyke.cli.files.YamlNode.Mapping;
import io.samphiredyke.cli.files.YamlNode.Scalar;
import io.samphiredyke.cli.files.YamlNode.ScalarType;
import io.samphiredyke.cli.files.YamlNode.Sequence;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Reads a YAML file into values with their places. */
final class YamlReader {

  private static final YAMLFactory FACTORY = new YAMLFactory();

  private final String file;
  private final JsonParser parser;

  private YamlReader(String file, JsonParser parser) {
    this.file = file;
    this.parser = parser;
  }

  /**
   * Reads a text.
   *
   * @param file the path of the file, for places
   * @param text the text
   * @param findings takes a fault of the syntax
   * @return the value; null if the text is empty or faulty
   */
  static @Nullable YamlNode read(String file, String text, Consumer<FileFinding> findings) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      YamlReader reader = new YamlReader(file, parser);
      JsonToken token = parser.nextToken();
      YamlNode root = token == null ? null : reader.node(token);
      if (root != null && parser.nextToken() != null) {
        findings.accept(
            FileFinding.error(reader.place(), "a file may hold one YAML document only"));
      }
      return root;
    } catch (JsonProcessingException e) {
      findings.accept(FileFinding.error(placeOf(file, e.getLocation()), "not YAML: " + brief(e)));
      return null;
    } catch (IOException e) {
      findings.accept(FileFinding.error(new Place(file, 1, 1), "can't be read: " + e.getMessage()));
      return null;
    }
  }

  private static String brief(JsonProcessingException failure) {
    return failure
        .getOriginalMessage()
        .lines()
        .filter(line -> !line.isBlank() && !line.startsWith(" "))
        .map(String::strip)
        .collect(Collectors.joining("; "));
  }

  private static Place placeOf(String file, @Nullable JsonLocation location) {
    if (location == null) {
      return new Place(file, 1, 1);
    }
    return new Place(file, Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
  }

  private Place place() {
    return placeOf(file, parser.currentTokenLocation());
  }

  private YamlNode node(JsonToken token) throws IOException {
    return switch (token) {
      case START_OBJECT -> mapping();
      case START_ARRAY -> sequence();
      case VALUE_NUMBER_INT -> scalar(ScalarType.INTEGER);
      case VALUE_NUMBER_FLOAT -> scalar(ScalarType.FRACTION);
      case VALUE_TRUE, VALUE_FALSE -> scalar(ScalarType.BOOLEAN);
      case VALUE_NULL -> scalar(ScalarType.NULL);
      default -> scalar(ScalarType.TEXT);
    };
  }

  private Scalar scalar(ScalarType type) throws IOException {
    return new Scalar(place(), type, parser.getText());
  }

  private Mapping mapping() throws IOException {
    Place place = place();
    List<Entry> entries = new ArrayList<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      Place keyPlace = place();
      String key = parser.currentName();
      entries.add(new Entry(keyPlace, key, node(parser.nextToken())));
    }
    return new Mapping(place, entries);
  }

  private Sequence sequence() throws IOException {
    Place place = place();
    List<YamlNode> values = new ArrayList<>();
    while (true) {
      JsonToken token = parser.nextToken();
      if (token == JsonToken.END_ARRAY) {
        return new Sequence(place, values);
      }
      values.add(node(token));
    }
  }
}
