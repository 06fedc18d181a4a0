package io.samphiredyke.cli.files;

import io.samphiredyke.core.config.Finding;
import io.samphiredyke.core.config.ItemKey;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Where the items and their fields stand in the files. */
final class ItemPlaces {

  /** Stands for all fields of an item. */
  static final String ANY_FIELD = "*";

  private final Map<ItemKey, Place> items = new HashMap<>();
  private final Map<ItemKey, Map<String, Place>> fields = new HashMap<>();
  private final Map<ItemKey, Set<String>> faulty = new HashMap<>();

  /** Notes the place of an item and returns the earlier one, null if there is none. */
  @Nullable Place add(ItemKey key, Place place) {
    return items.putIfAbsent(key, place);
  }

  /** Notes the place of a field and returns the earlier one, null if there is none. */
  @Nullable Place add(ItemKey key, String field, Place place) {
    return fields.computeIfAbsent(key, any -> new HashMap<>()).putIfAbsent(field, place);
  }

  /** Notes that a field's value could not be read; {@link #ANY_FIELD} for the whole item. */
  void markFaulty(ItemKey key, String field) {
    faulty.computeIfAbsent(key, any -> new HashSet<>()).add(field);
  }

  /** Returns whether a finding only follows from a value that could not be read. */
  boolean followsFromFault(Finding finding) {
    Set<String> names = faulty.getOrDefault(finding.item(), Set.of());
    boolean dependsOnKind = finding.code() == Finding.Code.INVALID_VALUE;
    return names.contains(finding.field())
        || names.contains(ANY_FIELD)
        || (dependsOnKind && names.contains("kind"));
  }

  /** Returns the place of a finding's field, else that of its item. */
  Place of(Finding finding) {
    Place place = fields.getOrDefault(finding.item(), Map.of()).get(finding.field());
    return place != null ? place : of(finding.item());
  }

  Place of(ItemKey key) {
    Place place = items.get(key);
    return place != null ? place : new Place("(in force)", 0, 0);
  }
}
