package io.samphiredyke.cli.files;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.config.Configuration;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigurationFileLoaderTest {

  @TempDir private Path directory;

  private List<String> findings(String text) throws IOException {
    Path file = directory.resolve("a" + ConfigurationFiles.FILE_SUFFIX);
    Files.writeString(file, text);
    return ConfigurationFileLoader.load(List.of(directory), Configuration.empty())
        .findings()
        .stream()
        .map(finding -> finding.toString().replace(file.toString() + ":", ""))
        .toList();
  }

  @Test
  void reportsEveryFindingWithItsLocation() throws IOException {
    assertThat(
            findings(
                """
                tiers:
                  urgent: {rank: 9}
                  high: {rank: top}
                servces: {}
                services:
                  drafts:
                    kind: modle
                    modell: m
                    dataCentres: [oslo-9]
                    tier: urgnt
                  drafts: {}
                """))
        .containsExactly(
            "2:18: error: tier urgent.rank: 9 is out of range; must be at least 0 and at most 3",
            "3:16: error: tier high.rank: expected an integer, found 'top'",
            "4:1: error: unknown section 'servces'; did you mean 'services'?",
            "6:3: warning: service drafts: no endpoint in its data centres serves it",
            "7:11: error: service drafts.kind: expected one of model, plain, found 'modle'",
            "8:5: error: service drafts: unknown field 'modell'; did you mean 'model'?",
            "9:18: error: service drafts.dataCentres: there is no data centre oslo-9",
            "10:11: error: service drafts.tier: there is no tier urgnt;"
                + " did you mean 'urgent'?",
            "11:3: error: service drafts is already defined at 6:3");
  }

  @Test
  void reportsInvalidSyntaxWithItsLocation() throws IOException {
    assertThat(findings("tiers:\n  a: [1\nb: 2\n"))
        .singleElement()
        .asString()
        .startsWith("3:2: error: invalid YAML: ");
  }

  @Test
  void reportsMissingDirectoriesAndDirectoriesWithoutFiles() {
    Path missing = directory.resolve("missing");
    assertThat(
            ConfigurationFileLoader.load(List.of(missing, directory), Configuration.empty())
                .findings())
        .extracting(FileFinding::message)
        .containsExactly(
            "contains no file named *.samphiredyke.yaml", "is neither a file nor a directory");
  }

  @Test
  void examplesHaveNoFindings() {
    for (String example : List.of("fugeverk", "sundarban")) {
      ConfigurationFiles files =
          ConfigurationFileLoader.load(
              List.of(Path.of("../examples", example)), Configuration.empty());
      assertThat(files.findings()).isEmpty();
      assertThat(files.items()).hasSizeGreaterThan(20);
    }
  }
}
