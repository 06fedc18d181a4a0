package io.samphiredyke.cli.files;

import io.samphiredyke.core.config.Finding;
import io.samphiredyke.core.config.ItemKey;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Records the source locations of items and their fields, and which values are invalid. */
final class ItemLocations {

  /** Denotes all fields of an item. */
  static final String ALL_FIELDS = "*";

  private final Map<ItemKey, SourceLocation> itemLocations = new HashMap<>();
  private final Map<ItemKey, Map<String, SourceLocation>> fieldLocations = new HashMap<>();
  private final Map<ItemKey, Set<String>> invalidFields = new HashMap<>();

  /** Records the location of an item unless it has one; returns the existing one or null. */
  @Nullable SourceLocation add(ItemKey key, SourceLocation location) {
    return itemLocations.putIfAbsent(key, location);
  }

  /** Records the location of a field unless it has one; returns the existing one or null. */
  @Nullable SourceLocation add(ItemKey key, String field, SourceLocation location) {
    return fieldLocations
        .computeIfAbsent(key, unused -> new HashMap<>())
        .putIfAbsent(field, location);
  }

  /** Marks a field as unreadable; {@link #ALL_FIELDS} marks the whole item. */
  void markInvalid(ItemKey key, String field) {
    invalidFields.computeIfAbsent(key, unused -> new HashSet<>()).add(field);
  }

  /** Returns whether a finding is only a consequence of a value that could not be read. */
  boolean resultsFromInvalidValue(Finding finding) {
    Set<String> fields = invalidFields.getOrDefault(finding.item(), Set.of());
    boolean dependsOnKind = finding.code() == Finding.Code.INVALID_VALUE;
    return fields.contains(finding.field())
        || fields.contains(ALL_FIELDS)
        || (dependsOnKind && fields.contains("kind"));
  }

  /** Returns the location of the field of a finding, or of its item if the field has none. */
  SourceLocation locationOf(Finding finding) {
    SourceLocation location =
        fieldLocations.getOrDefault(finding.item(), Map.of()).get(finding.field());
    return location != null ? location : locationOf(finding.item());
  }

  SourceLocation locationOf(ItemKey key) {
    SourceLocation location = itemLocations.get(key);
    return location != null ? location : new SourceLocation("(in force)", 0, 0);
  }
}
