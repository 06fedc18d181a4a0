package io.samphiredyke.schema.generator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** A JSON Schema file that describes one record. */
record SchemaFile(String fileName, JsonNode root) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Reads all schemas of a directory, sorted by file name. */
  static List<SchemaFile> readAll(Path directory) throws IOException {
    try (Stream<Path> paths = Files.list(directory)) {
      return paths
          .filter(path -> path.toString().endsWith(".json"))
          .sorted()
          .map(SchemaFile::read)
          .toList();
    }
  }

  private static SchemaFile read(Path path) {
    try {
      return new SchemaFile(path.getFileName().toString(), MAPPER.readTree(path.toFile()));
    } catch (IOException e) {
      throw new IllegalArgumentException(path + ": " + e.getMessage(), e);
    }
  }

  String typeName() {
    return root.path("title").asText();
  }

  String description() {
    return root.path("description").asText();
  }

  /** Returns the number of the message, or 0 for a type that only occurs inside others. */
  int messageNumber() {
    return root.path("x-number").asInt(0);
  }
}
