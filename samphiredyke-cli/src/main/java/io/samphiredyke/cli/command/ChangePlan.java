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

/** Works out the changes that lead from the configuration in force to the items of the files. */
final class ChangePlan {

  private ChangePlan() {}

  /**
   * Returns the changes.
   *
   * @param inForce the configuration in force
   * @param wanted the items of the files
   * @param prunes whether to remove items that are not in the files
   */
  static List<Change> changes(
      Configuration inForce, SortedMap<ItemKey, Item> wanted, boolean prunes) {
    List<Change> changes = new ArrayList<>();
    for (Item item : wanted.values()) {
      boolean isChanged = !inForce.item(item.key()).filter(item::equals).isPresent();
      if (isChanged) {
        changes.add(Change.put(item, inForce.version(item.key())));
      }
    }
    if (prunes) {
      inForce.items().keySet().stream()
          .filter(key -> !wanted.containsKey(key))
          .forEach(key -> changes.add(Change.delete(key, inForce.version(key))));
    }
    return changes;
  }

  /** Returns a readable form of a change, a line for each changed field. */
  static List<String> describe(Change change, Configuration inForce) {
    Item before = inForce.item(change.key()).orElse(null);
    Item after = change.value();
    List<String> lines = new ArrayList<>();
    if (change.operation() == Operation.DELETE || after == null) {
      lines.add("- " + change.key());
      return lines;
    }
    lines.add((before == null ? "+ " : "~ ") + change.key());
    var next = ItemCodec.toJson(after);
    for (String field : ItemCodec.fields(change.kind())) {
      String now = next.path(field).toString();
      String then = before == null ? "" : ItemCodec.toJson(before).path(field).toString();
      if (!field.equals("name") && !now.equals(then)) {
        lines.add("    " + field + ": " + (before == null ? now : then + " -> " + now));
      }
    }
    return lines;
  }
}
