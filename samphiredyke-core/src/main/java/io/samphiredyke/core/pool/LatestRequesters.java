package io.samphiredyke.core.pool;

/** The two requesters for which something happened last, with the times. */
final class LatestRequesters {

  private String latest = "";
  private long latestAt;
  private boolean hasLatest;
  private long otherAt;
  private boolean hasOther;

  void add(String requester, long now) {
    if (hasLatest && !requester.equals(latest)) {
      otherAt = latestAt;
      hasOther = true;
    }
    latest = requester;
    latestAt = now;
    hasLatest = true;
  }

  /** Returns whether it happened for another requester at a time or later. */
  boolean includesOther(String requester, long since) {
    if (hasLatest && !requester.equals(latest)) {
      return latestAt - since >= 0;
    }
    return hasOther && otherAt - since >= 0;
  }
}
