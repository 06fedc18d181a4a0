package io.samphiredyke.core.config;

import io.samphiredyke.core.config.Finding.Code;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Replicated state machine of the configuration: the state after a prefix of the log.
 *
 * <p>Applying a record is deterministic. Every node that applies the same records reaches the same
 * state, whether it starts at the first record or at a snapshot. The offset never decreases. Not
 * thread-safe.
 */
public final class ConfigurationState {

  /** The offset of the first record of the log. */
  public static final long FIRST_OFFSET = 0;

  /** Number of latest records whose ids are kept to detect records that were appended twice. */
  public static final int OUTCOME_WINDOW = 4_096;

  private final SortedMap<ItemKey, VersionedItem> items;
  private final Map<String, RecordOutcome> outcomes = new LinkedHashMap<>();
  private long nextOffset;
  private @Nullable Configuration configuration;

  /** Creates the state before the first record. */
  public ConfigurationState() {
    this(new Snapshot(FIRST_OFFSET, List.of(), List.of()));
  }

  /**
   * Creates the state of a snapshot.
   *
   * @param snapshot the snapshot
   */
  public ConfigurationState(Snapshot snapshot) {
    items = snapshot.itemsByKey();
    nextOffset = snapshot.nextOffset();
    snapshot.outcomes().forEach(outcome -> outcomes.put(outcome.recordId(), outcome));
  }

  /** Returns the offset of the next record to apply. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the current configuration. */
  public Configuration configuration() {
    Configuration current = configuration;
    if (current == null) {
      current = new Configuration(nextOffset, items);
    } else if (current.nextOffset() != nextOffset) {
      current = current.at(nextOffset);
    }
    configuration = current;
    return current;
  }

  /** Returns the complete state as a snapshot. */
  public Snapshot snapshot() {
    return new Snapshot(nextOffset, List.copyOf(items.values()), List.copyOf(outcomes.values()));
  }

  /**
   * Applies the record at an offset.
   *
   * @param offset the log offset, which must be {@link #nextOffset()}
   * @param record the record
   * @return what was done; {@link ApplyResult.OutOfOrder} if the offset is not the next one
   */
  public ApplyResult apply(long offset, ConfigurationRecord record) {
    if (offset != nextOffset) {
      return new ApplyResult.OutOfOrder(offset, nextOffset);
    }
    nextOffset++;
    if (record.snapshot() != null) {
      return new ApplyResult.NoChange(offset);
    }
    removeOutcomesBefore(offset - OUTCOME_WINDOW);
    RecordOutcome first = outcomes.get(record.recordId());
    if (first != null) {
      return new ApplyResult.Duplicate(offset, first);
    }
    List<Finding> findings = applyChanges(offset, record);
    boolean applied = findings.isEmpty();
    outcomes.put(record.recordId(), new RecordOutcome(record.recordId(), offset, applied));
    return applied
        ? new ApplyResult.Applied(offset, record.changes().stream().map(Change::key).toList())
        : new ApplyResult.Rejected(offset, findings);
  }

  /**
   * Skips a record that can't be decoded; it has no effect on any node.
   *
   * @param offset the log offset, which must be {@link #nextOffset()}
   * @return what was done
   */
  public ApplyResult skip(long offset) {
    if (offset != nextOffset) {
      return new ApplyResult.OutOfOrder(offset, nextOffset);
    }
    nextOffset++;
    return new ApplyResult.NoChange(offset);
  }

  private void removeOutcomesBefore(long offset) {
    var oldest = outcomes.values().iterator();
    while (oldest.hasNext()) {
      if (oldest.next().offset() >= offset) {
        break;
      }
      oldest.remove();
    }
  }

  private List<Finding> applyChanges(long offset, ConfigurationRecord record) {
    List<Finding> findings = check(record, items);
    if (!findings.isEmpty()) {
      return findings;
    }
    for (Change change : record.changes()) {
      Item value = change.value();
      if (value == null) {
        items.remove(change.key());
        continue;
      }
      items.put(
          change.key(), new VersionedItem(value, offset + 1, record.author(), record.timeMillis()));
    }
    configuration = null;
    return List.of();
  }

  /**
   * Returns why a record would be rejected by a configuration; empty if it would be applied.
   *
   * @param record the record
   * @param current the configuration to apply it to
   */
  public static List<Finding> check(ConfigurationRecord record, Configuration current) {
    return check(record, current.items());
  }

  private static List<Finding> check(
      ConfigurationRecord record, SortedMap<ItemKey, VersionedItem> current) {
    List<Finding> findings = new ArrayList<>();
    Set<ItemKey> changed = new HashSet<>();
    SortedMap<ItemKey, Item> next = new TreeMap<>();
    current.forEach((key, versioned) -> next.put(key, versioned.item()));
    for (Change change : record.changes()) {
      if (!changed.add(change.key())) {
        findings.add(finding(change, Code.MALFORMED_RECORD, "is changed twice in one record"));
      }
      checkChange(change, current, findings);
      Item value = change.value();
      if (value == null) {
        next.remove(change.key());
      } else {
        next.put(change.key(), value);
      }
    }
    if (findings.isEmpty()) {
      findings.addAll(ReferenceValidator.check(next));
    }
    return findings;
  }

  private static void checkChange(
      Change change, SortedMap<ItemKey, VersionedItem> current, List<Finding> findings) {
    Item value = change.value();
    if ((change.operation() == Operation.PUT) != (value != null)
        || (value != null && !value.key().equals(change.key()))) {
      findings.add(
          finding(
              change,
              Code.MALFORMED_RECORD,
              "has a value that does not match its operation, kind and name"));
      return;
    }
    if (value != null) {
      findings.addAll(ItemValidator.check(value));
    }
    VersionedItem existing = current.get(change.key());
    long version = existing == null ? VersionedItem.ABSENT : existing.version();
    if (version != change.baseVersion()) {
      findings.add(finding(change, Code.STALE_BASE, staleMessage(change, existing)));
    }
  }

  private static String staleMessage(Change change, @Nullable VersionedItem existing) {
    if (existing == null) {
      return "was deleted; the change was based on version " + change.baseVersion();
    }
    return String.format(
        "is at version %d, published by %s; the change was based on version %d",
        existing.version(), existing.author(), change.baseVersion());
  }

  private static Finding finding(Change change, Code code, String message) {
    return new Finding(change.key(), "", code, message);
  }
}
