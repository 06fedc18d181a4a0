package io.samphiredyke.cli.files;

import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.Finding;
import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.ItemKey;
import io.samphiredyke.core.config.ItemValidator;
import io.samphiredyke.core.config.ReferenceValidator;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.config.ServiceKind;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/** Loads the configuration files of some directories and validates them together. */
public final class ConfigurationFileLoader {

  private final List<FileFinding> findings = new ArrayList<>();
  private final FileParser parser = new FileParser(findings::add);
  private final List<String> files = new ArrayList<>();

  private ConfigurationFileLoader() {}

  /**
   * Loads and validates configuration files.
   *
   * @param paths directories to search recursively, and single files
   * @param current the configuration that the files may refer to; empty to check them alone
   */
  public static ConfigurationFiles load(List<Path> paths, Configuration current) {
    ConfigurationFileLoader loader = new ConfigurationFileLoader();
    loader.findFiles(paths).forEach(loader::read);
    loader.validate(current);
    return new ConfigurationFiles(
        loader.files, loader.parser.items(), loader.findings.stream().sorted().distinct().toList());
  }

  private TreeSet<Path> findFiles(List<Path> paths) {
    TreeSet<Path> found = new TreeSet<>();
    for (Path path : paths) {
      if (Files.isRegularFile(path)) {
        found.add(path);
        continue;
      }
      if (!Files.isDirectory(path)) {
        addError(path, "is neither a file nor a directory");
        continue;
      }
      searchDirectory(path, found);
    }
    return found;
  }

  private void searchDirectory(Path directory, TreeSet<Path> found) {
    int sizeBefore = found.size();
    try (Stream<Path> paths = Files.walk(directory)) {
      paths.filter(ConfigurationFileLoader::isConfigurationFile).forEach(found::add);
    } catch (IOException | UncheckedIOException e) {
      addError(directory, "can't be searched: " + e.getMessage());
      return;
    }
    if (found.size() == sizeBefore) {
      addError(directory, "contains no file named *" + ConfigurationFiles.FILE_SUFFIX);
    }
  }

  private static boolean isConfigurationFile(Path path) {
    Path name = path.getFileName();
    return name != null
        && name.toString().endsWith(ConfigurationFiles.FILE_SUFFIX)
        && Files.isRegularFile(path);
  }

  private void read(Path path) {
    files.add(path.toString());
    try {
      parser.parse(path.toString(), Files.readString(path));
    } catch (CharacterCodingException e) {
      addError(path, "is not valid UTF-8");
    } catch (IOException e) {
      addError(path, "can't be read: " + e.getMessage());
    }
  }

  private void validate(Configuration current) {
    SortedMap<ItemKey, Item> all = new TreeMap<>();
    current.items().forEach((key, versioned) -> all.put(key, versioned.item()));
    all.putAll(parser.items());
    parser.items().values().forEach(item -> addErrors(ItemValidator.check(item)));
    addErrors(ReferenceValidator.check(all));
    parser.items().values().forEach(item -> warnIfUnserved(item, all));
  }

  private void addErrors(List<Finding> errors) {
    for (Finding error : errors) {
      if (!parser.locations().resultsFromInvalidValue(error)) {
        findings.add(FileFinding.error(parser.locations().locationOf(error), error.toString()));
      }
    }
  }

  private void warnIfUnserved(Item item, SortedMap<ItemKey, Item> all) {
    if (!(item instanceof Service service)) {
      return;
    }
    boolean isServed =
        all.values().stream()
            .anyMatch(other -> other instanceof Endpoint endpoint && serves(endpoint, service));
    if (!isServed) {
      findings.add(
          FileFinding.warning(
              parser.locations().locationOf(service.key()),
              service.key() + ": no endpoint in its data centres serves it"));
    }
  }

  private static boolean serves(Endpoint endpoint, Service service) {
    String model = service.model();
    boolean isServable =
        service.kind() == ServiceKind.PLAIN
            ? endpoint.services().contains(service.name())
            : model != null && endpoint.models().contains(model);
    return isServable && service.dataCentres().contains(endpoint.dataCentre());
  }

  private void addError(Path path, String message) {
    findings.add(FileFinding.error(new SourceLocation(path.toString(), 1, 1), message));
  }
}
