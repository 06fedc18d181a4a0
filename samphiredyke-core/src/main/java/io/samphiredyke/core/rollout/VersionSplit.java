package io.samphiredyke.core.rollout;

/**
 * Part of the traffic of one service that a scheduler grants to a new software version, with the
 * answers of both versions.
 *
 * <p>The new version gets at most its share of what this scheduler has granted in the stage. As
 * this holds for each scheduler by itself, it holds for the sum over all of them, whichever are
 * lost or added.
 */
public final class VersionSplit {

  /** What the new version gets. */
  private enum Mode {
    HELD,
    SHARED,
    COMPLETE,
    REJECTED
  }

  private static final double LARGE_SHARE = 0.2;
  private static final int LARGE_SHARE_BATCH = 8;

  private final RolloutOrder order;
  private final VersionComparison comparison = new VersionComparison();
  private Mode mode = Mode.HELD;
  private double share;
  private boolean isPreferring;
  private long granted;
  private long grantedToNew;
  private long grantedToNewInAll;

  /** Creates a split that grants the new version nothing while there is another one. */
  public VersionSplit(RolloutOrder order) {
    this.order = order;
  }

  /** Returns the order of the roll-out. */
  public RolloutOrder order() {
    return order;
  }

  /** Grants nothing to the new version while there is another one. */
  public void hold() {
    mode = Mode.HELD;
  }

  /** Grants a share of the requests to the new version. */
  public void grantShare(double updated) {
    if (mode != Mode.SHARED || share != updated) {
      granted = 0;
      grantedToNew = 0;
    }
    mode = Mode.SHARED;
    share = updated;
  }

  /** Grants all requests to the new version, except streams that began at another one. */
  public void complete() {
    mode = Mode.COMPLETE;
  }

  /** Grants nothing to the new version, even if there is no other one. */
  public void reject() {
    mode = Mode.REJECTED;
  }

  /**
   * Returns which versions may get the next request.
   *
   * @param newEndpoints number of endpoints of the new version
   * @param oldEndpoints number of endpoints of other versions
   */
  public VersionFilter filter(int newEndpoints, int oldEndpoints) {
    VersionFilter withoutNew = new VersionFilter(VersionFilter.Kind.EXCEPT, order.version());
    return switch (mode) {
      case REJECTED -> withoutNew;
      case HELD -> oldEndpoints == 0 ? VersionFilter.ADMIT_ALL : withoutNew;
      case SHARED -> oldEndpoints == 0 ? VersionFilter.ADMIT_ALL : sharedFilter(newEndpoints);
      case COMPLETE ->
          newEndpoints == 0
              ? VersionFilter.ADMIT_ALL
              : new VersionFilter(VersionFilter.Kind.ONLY, order.version());
    };
  }

  private VersionFilter sharedFilter(int newEndpoints) {
    boolean mayBegin = grantedToNew + batch() <= share * (granted + 1);
    isPreferring = newEndpoints > 0 && (isPreferring ? mayGrantNew() : mayBegin);
    VersionFilter.Kind kind = isPreferring ? VersionFilter.Kind.PREFER : VersionFilter.Kind.EXCEPT;
    return new VersionFilter(kind, order.version());
  }

  /** Grants to the new version in a row; each change of the filter costs time. */
  private int batch() {
    return share < LARGE_SHARE ? 1 : LARGE_SHARE_BATCH;
  }

  private boolean mayGrantNew() {
    return grantedToNew + 1 <= share * (granted + 1);
  }

  /** Returns whether the share permits a grant to the new version now. */
  public boolean mayShare() {
    return mode == Mode.SHARED && mayGrantNew();
  }

  /** Records a grant at an endpoint of a version. */
  public void granted(String version) {
    granted++;
    if (isNew(version)) {
      grantedToNew++;
      grantedToNewInAll++;
    }
  }

  /** Returns whether a version is the new one. */
  public boolean isNew(String version) {
    return version.equals(order.version());
  }

  /** Returns how many requests this scheduler has granted to the new version. */
  public long exposure() {
    return grantedToNewInAll;
  }

  /**
   * Records an answer. Without requests at the old version there is nothing to compare with.
   *
   * @param version version of its endpoint
   * @param newEndpoints number of endpoints of the new version
   */
  public void answered(String version, Answer answer, int newEndpoints, long now) {
    if (mode == Mode.COMPLETE) {
      return;
    }
    if (isNew(version)) {
      comparison.newAnswered(answer, newEndpoints, now);
    } else {
      comparison.oldAnswered(answer, now);
    }
  }

  /** Returns what the answers show. */
  public RolloutEvidence evidence(int oldRunning, long now) {
    return new RolloutEvidence(
        comparison.answers(), comparison.finding(), comparison.isDisturbed(now), oldRunning);
  }
}
