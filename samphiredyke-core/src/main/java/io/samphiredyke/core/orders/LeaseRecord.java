package io.samphiredyke.core.orders;

import java.util.List;

/**
 * Record of the orders stream, by which a host renews and changes the leases of its session.
 *
 * <p>Each record renews all leases of its session. Its changes are applied in the order of the
 * components: ends, releases, takes, load ends, load requests.
 *
 * @param session session of the author, unique to the run of its process
 * @param sequence sequence number of the record in its session
 * @param isContinuation whether the author knew that the session held leases; such a record is
 *     ignored once the session has ended
 * @param ends expired sessions to be ended
 * @param releases leases that the session releases
 * @param takes endpoints whose leases the session takes if they are free
 * @param loadEnds loads that no longer use the weight store
 * @param loadRequests endpoints of the session that wait to load from the weight store
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
   * Lease of an endpoint.
   *
   * @param endpoint name of the endpoint
   * @param fence fencing token: the offset of the record that took the lease
   */
  public record HeldLease(String endpoint, long fence) {}

  /**
   * End of an expired session.
   *
   * @param session the session
   * @param lastOffset offset of the session's last record; a later record invalidates the end
   */
  public record SessionEnd(String session, long lastOffset) {}

  /**
   * End of a load.
   *
   * @param endpoint name of the endpoint
   * @param requestedAt offset of the record that requested the load
   */
  public record LoadEnd(String endpoint, long requestedAt) {}

  /** Returns whether the record only renews leases. */
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

  /** Builder of {@link LeaseRecord}. */
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

    /** Sets the session of the author. */
    public Builder session(String session) {
      this.session = session;
      return this;
    }

    /** Sets the sequence number of the record in its session. */
    public Builder sequence(long sequence) {
      this.sequence = sequence;
      return this;
    }

    /** Sets whether the author knew that the session held leases. */
    public Builder isContinuation(boolean isContinuation) {
      this.isContinuation = isContinuation;
      return this;
    }

    /** Sets the expired sessions to be ended. */
    public Builder ends(List<SessionEnd> ends) {
      this.ends = ends;
      return this;
    }

    /** Sets the leases that the session releases. */
    public Builder releases(List<HeldLease> releases) {
      this.releases = releases;
      return this;
    }

    /** Sets the endpoints whose leases the session takes. */
    public Builder takes(List<String> takes) {
      this.takes = takes;
      return this;
    }

    /** Sets the loads that no longer use the weight store. */
    public Builder loadEnds(List<LoadEnd> loadEnds) {
      this.loadEnds = loadEnds;
      return this;
    }

    /** Sets the endpoints that wait to load from the weight store. */
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
