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

/** Collects the short files below some directories and checks them all together. */
public final class FileCollector {

  private final List<FileFinding> findings = new ArrayList<>();
  private final FileParser parser = new FileParser(findings::add);
  private final List<String> files = new ArrayList<>();

  private FileCollector() {}

  /**
   * Collects and checks files.
   *
   * @param paths directories to search, and single files
   * @param inForce the configuration that the files may refer to; empty to check them alone
   */
  public static ConfigurationFiles collect(List<Path> paths, Configuration inForce) {
    FileCollector collector = new FileCollector();
    collector.find(paths).forEach(collector::read);
    collector.check(inForce);
    return new ConfigurationFiles(
        collector.files,
        collector.parser.items(),
        collector.findings.stream().sorted().distinct().toList());
  }

  private TreeSet<Path> find(List<Path> paths) {
    TreeSet<Path> found = new TreeSet<>();
    for (Path path : paths) {
      if (Files.isRegularFile(path)) {
        found.add(path);
        continue;
      }
      if (!Files.isDirectory(path)) {
        error(path, "is neither a file nor a directory");
        continue;
      }
      walk(path, found);
    }
    return found;
  }

  private void walk(Path directory, TreeSet<Path> found) {
    int before = found.size();
    try (Stream<Path> below = Files.walk(directory)) {
      below.filter(FileCollector::isShortFile).forEach(found::add);
    } catch (IOException | UncheckedIOException e) {
      error(directory, "can't be searched: " + e.getMessage());
      return;
    }
    if (found.size() == before) {
      error(directory, "holds no file named *" + ConfigurationFiles.SUFFIX);
    }
  }

  private static boolean isShortFile(Path path) {
    Path name = path.getFileName();
    return name != null
        && name.toString().endsWith(ConfigurationFiles.SUFFIX)
        && Files.isRegularFile(path);
  }

  private void read(Path path) {
    files.add(path.toString());
    try {
      parser.parse(path.toString(), Files.readString(path));
    } catch (CharacterCodingException e) {
      error(path, "is not text in UTF-8");
    } catch (IOException e) {
      error(path, "can't be read: " + e.getMessage());
    }
  }

  private void check(Configuration inForce) {
    SortedMap<ItemKey, Item> all = new TreeMap<>();
    inForce.items().forEach((key, versioned) -> all.put(key, versioned.item()));
    all.putAll(parser.items());
    parser.items().values().forEach(item -> report(ItemValidator.check(item)));
    report(ReferenceValidator.check(all));
    parser.items().values().forEach(item -> warnOfUnservedService(item, all));
  }

  private void report(List<Finding> faults) {
    for (Finding fault : faults) {
      if (!parser.places().followsFromFault(fault)) {
        findings.add(FileFinding.error(parser.places().of(fault), fault.toString()));
      }
    }
  }

  private void warnOfUnservedService(Item item, SortedMap<ItemKey, Item> all) {
    if (!(item instanceof Service service)) {
      return;
    }
    boolean isServed =
        all.values().stream()
            .anyMatch(other -> other instanceof Endpoint endpoint && serves(endpoint, service));
    if (!isServed) {
      findings.add(
          FileFinding.warning(
              parser.places().of(service.key()),
              service.key() + ": no endpoint in its data centres can answer it"));
    }
  }

  private static boolean serves(Endpoint endpoint, Service service) {
    String model = service.model();
    boolean isAble =
        service.kind() == ServiceKind.PLAIN
            ? endpoint.services().contains(service.name())
            : model != null && endpoint.models().contains(model);
    return isAble && service.dataCentres().contains(endpoint.dataCentre());
  }

  private void error(Path path, String message) {
    findings.add(FileFinding.error(new Place(path.toString(), 1, 1), message));
  }
}
