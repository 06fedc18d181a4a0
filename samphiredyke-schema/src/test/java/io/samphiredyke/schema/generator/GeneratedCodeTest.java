package io.samphiredyke.schema.generator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Checks that the committed code and settings page match the schemas. With {@code
 * -Dsamphiredyke.schema.write=true}, both are regenerated first.
 */
class GeneratedCodeTest {

  private static final Path SCHEMAS = Path.of("src/main/resources/schema");
  private static final Path SETTINGS_PAGE = Path.of("../docs/SETTINGS.md");
  private static final Path CODE = Path.of("src/generated/java");

  @Test
  void committedCodeMatchesTheSchemas() throws IOException {
    Map<Path, String> expected = new CodeGenerator(SCHEMAS).files();
    if (Boolean.getBoolean("samphiredyke.schema.write")) {
      CodeGenerator.replace(CODE, expected);
    }
    assertThat(CodeGenerator.filesBelow(CODE)).containsExactlyElementsOf(expected.keySet());
    for (var file : expected.entrySet()) {
      assertThat(Files.readString(CODE.resolve(file.getKey())))
          .as(file.getKey().toString())
          .isEqualTo(file.getValue());
    }
  }

  @Test
  void settingsPageMatchesTheSchemas() throws IOException {
    String expected = new CodeGenerator(SCHEMAS).settingsPage();
    if (Boolean.getBoolean("samphiredyke.schema.write")) {
      Files.writeString(SETTINGS_PAGE, expected);
    }
    assertThat(SETTINGS_PAGE).hasContent(expected);
  }
}
