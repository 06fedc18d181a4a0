package io.samphiredyke.core.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Assembles snapshots from chunks that may be interleaved, duplicated or incomplete. */
public final class SnapshotAssembler {

  private static final int MAX_INCOMPLETE_SNAPSHOTS = 16;
  private static final int MAX_CHUNKS = 10_000;

  private final Map<String, @Nullable SnapshotChunk[]> incomplete = new LinkedHashMap<>();

  /**
   * Adds a chunk.
   *
   * @param chunk the chunk
   * @return the snapshot that this chunk completes, if any and if its digest is correct
   */
  public Optional<Snapshot> add(SnapshotChunk chunk) {
    if (chunk.count() < 1 || chunk.count() > MAX_CHUNKS) {
      return Optional.empty();
    }
    @Nullable SnapshotChunk[] parts =
        incomplete.computeIfAbsent(chunk.snapshotId(), id -> new SnapshotChunk[chunk.count()]);
    if (chunk.count() != parts.length || chunk.index() < 0 || chunk.index() >= parts.length) {
      return Optional.empty();
    }
    parts[chunk.index()] = chunk;
    dropOldest();
    if (Arrays.stream(parts).anyMatch(Objects::isNull)) {
      return Optional.empty();
    }
    incomplete.remove(chunk.snapshotId());
    return join(parts);
  }

  private void dropOldest() {
    if (incomplete.size() > MAX_INCOMPLETE_SNAPSHOTS) {
      incomplete.remove(incomplete.keySet().iterator().next());
    }
  }

  private static Optional<Snapshot> join(@Nullable SnapshotChunk[] parts) {
    List<VersionedItem> items = new ArrayList<>();
    List<RecordOutcome> outcomes = new ArrayList<>();
    long nextOffset = -1;
    String digest = "";
    for (SnapshotChunk part : parts) {
      if (part == null || (nextOffset >= 0 && part.nextOffset() != nextOffset)) {
        return Optional.empty();
      }
      nextOffset = part.nextOffset();
      digest = part.digest();
      items.addAll(part.items());
      outcomes.addAll(part.outcomes());
    }
    Snapshot snapshot = new Snapshot(nextOffset, items, outcomes);
    return snapshot.digest().equals(digest) ? Optional.of(snapshot) : Optional.empty();
  }
}
