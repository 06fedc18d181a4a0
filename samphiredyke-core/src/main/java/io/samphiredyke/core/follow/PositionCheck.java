package io.samphiredyke.core.follow;

import java.time.Duration;

/**
 * Decides how long a host may wait for the next record of a topic, and when it must read again
 * without waiting.
 *
 * <p>A connection that is silent for good looks like a topic without new records. Therefore one
 * host of the group waits for a short time only, so that it gets a response at least once per
 * {@link #interval}, and states the position that the response confirmed. All others wait for long,
 * which costs few calls, and read again when a statement is ahead of their own position. If no
 * statement arrives, the next host in the order of the election takes over, and after a further
 * time each host confirms its position itself. Times are nanoseconds of a monotonic clock.
 */
public final class PositionCheck {

  /**
   * Rank of a host in the election of the host that states the position; 0 is the elected one, 1
   * its substitute.
   */
  public static final int SUBSTITUTE_RANK = 1;

  /**
   * Interval at which the position is confirmed, as a share of the time within which a record must
   * be applied. The remaining time is needed for a second connection and for lost statements.
   */
  private static final double INTERVAL_SHARE = 0.3;

  /** Time without a statement after which the substitute confirms the position, as such a share. */
  private static final double SUBSTITUTE_SHARE = 0.45;

  /** Time without a statement after which every host confirms its position, as such a share. */
  private static final double OTHERS_SHARE = 0.55;

  /**
   * Time for a host's own read to return the records that a statement tells of; responses to
   * several hosts are at most some milliseconds apart.
   */
  private static final long SETTLE_NANOS = Duration.ofMillis(100).toNanos();

  private static final long NEVER = Long.MIN_VALUE;

  private final Duration applyTime;
  private final Duration longWait;
  private long statedAt = NEVER;
  private long aheadSince = NEVER;
  private boolean waitsLong;

  /**
   * Creates a check for a host that has received no statement.
   *
   * @param applyTime time within which a record must be applied
   * @param longWait how long a host waits that receives statements
   */
  public PositionCheck(Duration applyTime, Duration longWait) {
    this.applyTime = applyTime;
    this.longWait = longWait;
  }

  /** Returns the interval at which the position is confirmed. */
  public Duration interval() {
    return share(INTERVAL_SHARE);
  }

  private Duration share(double share) {
    return Duration.ofNanos((long) (applyTime.toNanos() * share));
  }

  /** Returns how long the next read may wait for a record. */
  public Duration nextWait(int rank, long now) {
    waitsLong = !mustConfirm(rank, now);
    return waitsLong ? longWait : interval();
  }

  /** Records that the store has confirmed the position of this host. */
  public void confirmed() {
    aheadSince = NEVER;
  }

  /**
   * Records the position that another host stated.
   *
   * @param position position of this host
   */
  public void stated(long era, long offset, TopicCursor position, long now) {
    if (era < position.era()) {
      return;
    }
    statedAt = now;
    boolean isAhead = era > position.era() || offset > position.offset();
    if (!isAhead) {
      aheadSince = NEVER;
    } else if (aheadSince == NEVER) {
      aheadSince = now;
    }
  }

  /** Returns whether this host must confirm its position, because no other host does. */
  private boolean mustConfirm(int rank, long now) {
    if (rank < SUBSTITUTE_RANK || statedAt == NEVER) {
      return true;
    }
    Duration tolerated = share(rank == SUBSTITUTE_RANK ? SUBSTITUTE_SHARE : OTHERS_SHARE);
    return now - statedAt > tolerated.toNanos();
  }

  /**
   * Returns whether the current read must be abandoned for one that does not wait. It counts as
   * started if so.
   */
  public boolean mustReadAgain(int rank, long now) {
    boolean isBehind = aheadSince != NEVER && now - aheadSince >= SETTLE_NANOS;
    if (!isBehind && !(waitsLong && mustConfirm(rank, now))) {
      return false;
    }
    aheadSince = NEVER;
    waitsLong = false;
    return true;
  }

  /** Returns the time after a statement at which {@link #mustReadAgain} should be called. */
  public static Duration settleTime() {
    return Duration.ofNanos(SETTLE_NANOS);
  }
}
