package io.samphiredyke.schema.generator;

import com.google.googlejavaformat.java.Formatter;
import com.google.googlejavaformat.java.FormatterException;
import com.google.googlejavaformat.java.RemoveUnusedImports;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Generates the Java code and the settings page from the schemas. */
final class CodeGenerator {

  private static final String MESSAGE_PACKAGE = "io.samphiredyke.schema.message";
  private static final String SETTINGS_PACKAGE = "io.samphiredyke.schema.settings";

  private final Path schemas;
  private final Map<Path, String> files = new TreeMap<>();

  CodeGenerator(Path schemas) {
    this.schemas = schemas;
  }

  /** Returns the content of each file by its path below the root of the generated code. */
  Map<Path, String> files() throws IOException {
    List<SchemaFile> messages = SchemaFile.readAll(schemas.resolve("messages"));
    MessageTypeWriter types = new MessageTypeWriter(MESSAGE_PACKAGE, messages);
    writePackage(MESSAGE_PACKAGE, "Messages between hosts.");
    writeRecords(MESSAGE_PACKAGE, messages, false);
    write(MESSAGE_PACKAGE, "PeerMessage", types.peerMessage());
    write(MESSAGE_PACKAGE, "MessageType", types.messageType());
    writePackage(SETTINGS_PACKAGE, "Settings of the programs.");
    writeRecords(SETTINGS_PACKAGE, settings(), true);
    return files;
  }

  /** Returns the reference page of all settings. */
  String settingsPage() throws IOException {
    return new SettingsPageWriter().write(settings());
  }

  private List<SchemaFile> settings() throws IOException {
    return SchemaFile.readAll(schemas.resolve("settings"));
  }

  private void writePackage(String packageName, String description) {
    String text =
        """
        /** %s Generated from the schemas; do not edit. */
        @NullMarked
        package %s;

        import org.jspecify.annotations.NullMarked;
        """
            .formatted(description, packageName);
    write(packageName, "package-info", text);
  }

  private void writeRecords(String packageName, List<SchemaFile> schemaFiles, boolean strict) {
    RecordWriter writer = new RecordWriter(packageName, strict);
    for (SchemaFile file : schemaFiles) {
      write(packageName, file.typeName(), writer.write(file));
    }
  }

  private void write(String packageName, String typeName, String source) {
    Path path = Path.of(packageName.replace('.', '/')).resolve(typeName + ".java");
    files.put(path, format(source));
  }

  private static String format(String source) {
    try {
      return new Formatter()
          .formatSourceAndFixImports(RemoveUnusedImports.removeUnusedImports(source));
    } catch (FormatterException e) {
      throw new IllegalStateException(e.getMessage() + "\n" + source, e);
    }
  }

  /** Replaces the content of a directory by the given files. */
  static void replace(Path directory, Map<Path, String> files) throws IOException {
    for (Path obsolete : filesBelow(directory)) {
      Files.delete(directory.resolve(obsolete));
    }
    for (var file : files.entrySet()) {
      Path path = directory.resolve(file.getKey());
      Files.createDirectories(path.getParent());
      Files.writeString(path, file.getValue());
    }
  }

  /** Returns the paths of the files below a directory, relative to it. */
  static List<Path> filesBelow(Path directory) throws IOException {
    if (!Files.exists(directory)) {
      return List.of();
    }
    try (var paths = Files.walk(directory)) {
      return paths.filter(Files::isRegularFile).map(directory::relativize).sorted().toList();
    }
  }
}
