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

/** Reads a YAML document into a tree of nodes with source locations. */
final class YamlReader {

  private static final YAMLFactory FACTORY = new YAMLFactory();

  private final String file;
  private final JsonParser parser;

  private YamlReader(String file, JsonParser parser) {
    this.file = file;
    this.parser = parser;
  }

  /**
   * Reads a document.
   *
   * @param file the path of the file, used in locations
   * @param text the content of the file
   * @param findings the consumer of syntax errors
   * @return the root node; null if the document is empty or invalid
   */
  static @Nullable YamlNode read(String file, String text, Consumer<FileFinding> findings) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      YamlReader reader = new YamlReader(file, parser);
      JsonToken token = parser.nextToken();
      YamlNode root = token == null ? null : reader.readNode(token);
      if (root != null && parser.nextToken() != null) {
        findings.accept(
            FileFinding.error(
                reader.currentLocation(), "a file may contain only one YAML document"));
      }
      return root;
    } catch (JsonProcessingException e) {
      findings.accept(
          FileFinding.error(
              toSourceLocation(file, e.getLocation()), "invalid YAML: " + syntaxErrorMessage(e)));
      return null;
    } catch (IOException e) {
      findings.accept(
          FileFinding.error(new SourceLocation(file, 1, 1), "can't be read: " + e.getMessage()));
      return null;
    }
  }

  private static String syntaxErrorMessage(JsonProcessingException exception) {
    return exception
        .getOriginalMessage()
        .lines()
        .filter(line -> !line.isBlank() && !line.startsWith(" "))
        .map(String::strip)
        .collect(Collectors.joining("; "));
  }

  private static SourceLocation toSourceLocation(String file, @Nullable JsonLocation location) {
    if (location == null) {
      return new SourceLocation(file, 1, 1);
    }
    return new SourceLocation(
        file, Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
  }

  private SourceLocation currentLocation() {
    return toSourceLocation(file, parser.currentTokenLocation());
  }

  private YamlNode readNode(JsonToken token) throws IOException {
    return switch (token) {
      case START_OBJECT -> readMapping();
      case START_ARRAY -> readSequence();
      case VALUE_NUMBER_INT -> readScalar(ScalarType.INTEGER);
      case VALUE_NUMBER_FLOAT -> readScalar(ScalarType.FLOAT);
      case VALUE_TRUE, VALUE_FALSE -> readScalar(ScalarType.BOOLEAN);
      case VALUE_NULL -> readScalar(ScalarType.NULL);
      default -> readScalar(ScalarType.TEXT);
    };
  }

  private Scalar readScalar(ScalarType type) throws IOException {
    return new Scalar(currentLocation(), type, parser.getText());
  }

  private Mapping readMapping() throws IOException {
    SourceLocation location = currentLocation();
    List<Entry> entries = new ArrayList<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      SourceLocation keyLocation = currentLocation();
      String key = parser.currentName();
      entries.add(new Entry(keyLocation, key, readNode(parser.nextToken())));
    }
    return new Mapping(location, entries);
  }

  private Sequence readSequence() throws IOException {
    SourceLocation location = currentLocation();
    List<YamlNode> values = new ArrayList<>();
    while (true) {
      JsonToken token = parser.nextToken();
      if (token == JsonToken.END_ARRAY) {
        return new Sequence(location, values);
      }
      values.add(readNode(token));
    }
  }
}
