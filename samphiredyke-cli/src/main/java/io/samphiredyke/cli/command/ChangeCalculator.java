package io.samphiredyke.cli.command;

import io.samphiredyke.core.config.Change;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.ItemKey;
import io.samphiredyke.core.config.Operation;
import io.samphiredyke.net.configuration.ItemCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

/** Computes the changes that turn the current configuration into that of the files. */
final class ChangeCalculator {

  private ChangeCalculator() {}

  /**
   * Returns the changes to publish.
   *
   * @param current the current configuration
   * @param desired the items of the files
   * @param prunes whether to delete items that are not in the files
   */
  static List<Change> changes(
      Configuration current, SortedMap<ItemKey, Item> desired, boolean prunes) {
    List<Change> changes = new ArrayList<>();
    for (Item item : desired.values()) {
      boolean isChanged = !current.item(item.key()).filter(item::equals).isPresent();
      if (isChanged) {
        changes.add(Change.put(item, current.version(item.key())));
      }
    }
    if (prunes) {
      current.items().keySet().stream()
          .filter(key -> !desired.containsKey(key))
          .forEach(key -> changes.add(Change.delete(key, current.version(key))));
    }
    return changes;
  }

  /** Describes a change in one line for the item and one for each changed field. */
  static List<String> describe(Change change, Configuration current) {
    Item before = current.item(change.key()).orElse(null);
    Item after = change.value();
    List<String> lines = new ArrayList<>();
    if (change.operation() == Operation.DELETE || after == null) {
      lines.add("- " + change.key());
      return lines;
    }
    lines.add((before == null ? "+ " : "~ ") + change.key());
    var afterJson = ItemCodec.toJson(after);
    for (String field : ItemCodec.fields(change.kind())) {
      String newValue = afterJson.path(field).toString();
      String oldValue = before == null ? "" : ItemCodec.toJson(before).path(field).toString();
      if (!field.equals("name") && !newValue.equals(oldValue)) {
        lines.add(
            "    " + field + ": " + (before == null ? newValue : oldValue + " -> " + newValue));
      }
    }
    return lines;
  }
}
