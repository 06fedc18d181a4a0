package io.samphiredyke.core.follow;

/**
 * Position of a reader in a topic: the era of the store and the next offset to read in it.
 *
 * <p>A store that is restored from an older copy starts a new era and gives out offsets again, so
 * an offset is valid only within its era. The first data of a new era must therefore be a snapshot,
 * and data of an older era that arrives late is ignored. Eras only increase; a store that states
 * none always has the era {@link #NO_ERA}.
 */
public final class TopicCursor {

  /** Era of a store that states none. */
  public static final long NO_ERA = -1;

  /** Offset before the first snapshot of an era. */
  public static final long NO_OFFSET = -1;

  /** What to do with an update that another host read. */
  public enum Update {
    /** It continues at this position: apply the changes from {@link #offset()} on. */
    APPLY,
    /** It contains nothing new. */
    CURRENT,
    /** Changes before it are missing, so only the store can provide them. */
    GAP,
    /** It belongs to an older era. */
    OUTDATED
  }

  private long era = NO_ERA;
  private long offset = NO_OFFSET;

  /** Returns the newest era observed. */
  public long era() {
    return era;
  }

  /** Returns the next offset to read, or {@link #NO_OFFSET} if a snapshot is needed. */
  public long offset() {
    return offset;
  }

  /** Returns whether the next read must be a snapshot. */
  public boolean needsSnapshot() {
    return offset == NO_OFFSET;
  }

  /**
   * Records the era that any response of the store or any other host stated.
   *
   * @return whether the position became invalid, so that a snapshot must be read
   */
  public boolean observeEra(long observed) {
    if (observed <= era) {
      return false;
    }
    era = observed;
    boolean hadPosition = offset != NO_OFFSET;
    offset = NO_OFFSET;
    return hadPosition;
  }

  /**
   * Moves to the end of a snapshot.
   *
   * @return false if the snapshot belongs to an older era and must be read again
   */
  public boolean acceptSnapshot(long snapshotEra, long nextOffset) {
    if (isOutdated(snapshotEra)) {
      return false;
    }
    era = Math.max(era, snapshotEra);
    offset = nextOffset;
    return true;
  }

  /**
   * Moves past records that were read from the current position.
   *
   * @return false if the records belong to another era and must not be applied
   */
  public boolean acceptRecords(long recordsEra, long nextOffset) {
    if (observeEra(recordsEra) || isOutdated(recordsEra) || needsSnapshot()) {
      return false;
    }
    offset = nextOffset;
    return true;
  }

  /**
   * Classifies an update of another host, without moving.
   *
   * @param completeFrom offset from which on the update contains all changes
   * @param nextOffset offset that the other host reads next
   */
  public Update classify(long updateEra, long completeFrom, long nextOffset) {
    if (isOutdated(updateEra)) {
      return Update.OUTDATED;
    }
    if (updateEra > era || needsSnapshot() || completeFrom > offset) {
      return Update.GAP;
    }
    return nextOffset > offset ? Update.APPLY : Update.CURRENT;
  }

  private boolean isOutdated(long otherEra) {
    // Without a stated era there is nothing to compare; the offset alone has to do.
    return otherEra != NO_ERA && otherEra < era;
  }
}
