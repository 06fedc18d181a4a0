package io.samphiredyke.core.orders;

import java.util.List;

/**
 * A record of the orders stream: one host's leases and its changes of them.
 *
 * <p>Each record renews all leases of its session. It takes effect in the order of its members:
 * ends, releases, takes, load ends, load requests.
 *
 * @param session the author's session, unique to the run of its process
 * @param sequence the number of the record in its session
 * @param isContinuation whether its author knew the session to hold leases; such a record is void
 *     once the session has ended
 * @param ends sessions that lapsed
 * @param releases leases that the session gives up
 * @param takes endpoints that the session takes if they are free
 * @param loadEnds loads that no longer use the weight store
 * @param loadRequests endpoints of the session that wait for their turn to load
 */
public record LeaseRecord(
    String session,
    long sequence,
    boolean isContinuation,
    List<SessionEnd> ends,
    List<HeldLease> releases,
    List<String> takes,
    List<LoadEnd> loadEnds,
    List<String> loadRequests) {

  /** Copies the lists. */
  public LeaseRecord {
    ends = List.copyOf(ends);
    releases = List.copyOf(releases);
    takes = List.copyOf(takes);
    loadEnds = List.copyOf(loadEnds);
    loadRequests = List.copyOf(loadRequests);
  }

  /**
   * A lease on an endpoint.
   *
   * @param endpoint the name of the endpoint
   * @param fence the offset of the record that took it, the fencing number
   */
  public record HeldLease(String endpoint, long fence) {}

  /**
   * The end of a lapsed session.
   *
   * @param session the session
   * @param lastOffset the offset of its last record; a later one makes the end void
   */
  public record SessionEnd(String session, long lastOffset) {}

  /**
   * The end of a load.
   *
   * @param endpoint the name of the endpoint
   * @param requestedAt the offset of the record that requested it
   */
  public record LoadEnd(String endpoint, long requestedAt) {}

  /** Returns whether the record only renews. */
  public boolean isRenewal() {
    return ends.isEmpty()
        && releases.isEmpty()
        && takes.isEmpty()
        && loadEnds.isEmpty()
        && loadRequests.isEmpty();
  }

  /** Returns a builder of an empty record. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the members. */
  public static final class Builder {
    private String session = "";
    private long sequence;
    private boolean isContinuation;
    private List<SessionEnd> ends = List.of();
    private List<HeldLease> releases = List.of();
    private List<String> takes = List.of();
    private List<LoadEnd> loadEnds = List.of();
    private List<String> loadRequests = List.of();

    private Builder() {}

    /** Sets the author's session. */
    public Builder session(String session) {
      this.session = session;
      return this;
    }

    /** Sets the number of the record in its session. */
    public Builder sequence(long sequence) {
      this.sequence = sequence;
      return this;
    }

    /** Sets whether its author knew the session to hold leases. */
    public Builder isContinuation(boolean isContinuation) {
      this.isContinuation = isContinuation;
      return this;
    }

    /** Sets the sessions that lapsed. */
    public Builder ends(List<SessionEnd> ends) {
      this.ends = ends;
      return this;
    }

    /** Sets the leases that the session gives up. */
    public Builder releases(List<HeldLease> releases) {
      this.releases = releases;
      return this;
    }

    /** Sets the endpoints that the session takes. */
    public Builder takes(List<String> takes) {
      this.takes = takes;
      return this;
    }

    /** Sets the loads that no longer use the weight store. */
    public Builder loadEnds(List<LoadEnd> loadEnds) {
      this.loadEnds = loadEnds;
      return this;
    }

    /** Sets the endpoints that wait for their turn to load. */
    public Builder loadRequests(List<String> loadRequests) {
      this.loadRequests = loadRequests;
      return this;
    }

    /** Returns the record. */
    public LeaseRecord build() {
      return new LeaseRecord(
          session, sequence, isContinuation, ends, releases, takes, loadEnds, loadRequests);
    }
  }
}
