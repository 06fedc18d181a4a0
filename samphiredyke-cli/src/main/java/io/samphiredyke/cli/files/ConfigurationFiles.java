package io.samphiredyke.cli.files;

import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.ItemKey;
import java.util.List;
import java.util.SortedMap;

/**
 * The items of all loaded configuration files, with the findings of their validation.
 *
 * @param files the paths of the files
 * @param items the items by key
 * @param findings all findings, ordered by location
 */
public record ConfigurationFiles(
    List<String> files, SortedMap<ItemKey, Item> items, List<FileFinding> findings) {

  /** The file name suffix of configuration files. */
  public static final String FILE_SUFFIX = ".samphiredyke.yaml";

  /** Returns whether any finding prevents publishing. */
  public boolean hasErrors() {
    return findings.stream().anyMatch(FileFinding::isError);
  }
}
