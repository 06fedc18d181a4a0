package io.samphiredyke.daemon.admin;

import java.util.List;
import java.util.Map;

/**
 * The state of one process as operators see it.
 *
 * @param host the host's name
 * @param dataCentre the host's data centre
 * @param incarnation identity of this run of the process
 * @param isReady whether requests are taken
 * @param isDraining whether new requests are refused
 * @param configuration what is in force
 * @param requests requests at this entry
 * @param members the hosts that this one knows as live
 * @param brokers the endpoints that this host brokers
 * @param invariantViolations violations by the invariant's name
 */
public record StatusReport(
    String host,
    String dataCentre,
    String incarnation,
    boolean isReady,
    boolean isDraining,
    ConfigurationStatus configuration,
    RequestsStatus requests,
    List<MemberStatus> members,
    List<BrokerLine> brokers,
    Map<String, Long> invariantViolations) {

  /**
   * The configuration in force.
   *
   * @param offset the offset of the last record
   * @param digest the digest of all items
   * @param state the state of the follower
   * @param failedPolls failed polls of the log since the last that succeeded
   */
  public record ConfigurationStatus(long offset, String digest, String state, int failedPolls) {}

  /**
   * Requests at one entry.
   *
   * @param active requests that the entry works on
   * @param known requests that it remembers
   * @param registers registers that it keeps for other entries
   */
  public record RequestsStatus(long active, int known, int registers) {}

  /**
   * One host as another knows it.
   *
   * @param name the host's name
   * @param address its peer address
   * @param callerAddress its address for callers
   * @param dataCentre its data centre
   * @param state its state
   * @param configurationOffset the newest offset known to be in force there
   * @param isDraining whether it refuses new requests
   */
  public record MemberStatus(
      String name,
      String address,
      String callerAddress,
      String dataCentre,
      String state,
      long configurationOffset,
      boolean isDraining) {}

  /**
   * One endpoint at its broker.
   *
   * @param endpoint the endpoint's name
   * @param isLeaving whether it takes no new work
   * @param inFlight grants in use
   * @param limit the concurrency limit
   * @param queuedByTier waiting claims by rank of the tier
   */
  public record BrokerLine(
      String endpoint, boolean isLeaving, int inFlight, int limit, List<Integer> queuedByTier) {}
}
