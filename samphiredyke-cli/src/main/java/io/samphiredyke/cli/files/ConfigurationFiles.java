package io.samphiredyke.cli.files;

import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.ItemKey;
import java.util.List;
import java.util.SortedMap;

/**
 * The items of all files together with what is wrong with them.
 *
 * @param files the paths of the files
 * @param items the items by key
 * @param findings every finding, in the order of places
 */
public record ConfigurationFiles(
    List<String> files, SortedMap<ItemKey, Item> items, List<FileFinding> findings) {

  /** The end of the names of short configuration files. */
  public static final String SUFFIX = ".samphiredyke.yaml";

  /** Returns whether any finding prevents publishing. */
  public boolean hasErrors() {
    return findings.stream().anyMatch(FileFinding::isError);
  }
}
