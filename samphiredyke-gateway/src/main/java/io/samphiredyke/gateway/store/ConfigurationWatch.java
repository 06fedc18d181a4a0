package io.samphiredyke.gateway.store;

import io.samphiredyke.core.follow.PositionCheck;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.scheduling.PeerGroup;
import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;

/**
 * Bounds the time for which a silent connection can hide a new configuration from the hosts.
 *
 * <p>One host of the group confirms the position in the operator's topic at a short interval and
 * sends it to the others, which read again if they are behind.
 */
public final class ConfigurationWatch {

  private static final int LAST_RANK = PositionCheck.SUBSTITUTE_RANK + 1;

  private final ControlEventLoop loop;
  private final PeerGroup peers;
  private final ReaderElection election;
  private final TopicFollower follower;
  private final PositionCheck check;
  private final DecisionLog log;

  /**
   * Creates a watch and registers it for the statements of other hosts.
   *
   * @param self peer address of this host
   * @param check decides when the position must be confirmed
   */
  public ConfigurationWatch(
      ControlEventLoop loop,
      PeerGroup peers,
      String self,
      TopicFollower follower,
      PositionCheck check,
      DecisionLog log) {
    this.loop = loop;
    this.peers = peers;
    this.election = new ReaderElection(peers, self, "configuration");
    this.follower = follower;
    this.check = check;
    this.log = log;
    peers.setConfigurationPositionListener(this::onStatement);
  }

  private int rank() {
    return election.rank(LAST_RANK);
  }

  /** Returns how long the store may hold the next read. */
  public Duration nextWait() {
    return check.nextWait(rank(), loop.nanoTime());
  }

  /** Called after each response of the store; states the position if this host is to do so. */
  public void onRead() {
    check.confirmed();
    if (rank() <= PositionCheck.SUBSTITUTE_RANK) {
      peers.broadcastConfigurationPosition(follower.position().era(), follower.position().offset());
    }
  }

  private void onStatement(String from, long era, long offset) {
    check.stated(era, offset, follower.position(), loop.nanoTime());
    follower.observeEra(era);
    if (offset > follower.position().offset()) {
      loop.schedule(() -> checkPosition(from), PositionCheck.settleTime());
    }
  }

  /** Reads again if the current read may hide a record. Called several times per second. */
  public void checkPosition() {
    checkPosition("none");
  }

  private void checkPosition(String statedBy) {
    if (check.mustReadAgain(rank(), loop.nanoTime())) {
      log.event(
          "config_read_again",
          "offset",
          follower.position().offset(),
          "silent_ms",
          follower.silentMillis(),
          "stated_by",
          statedBy);
      follower.readAgain();
    }
  }
}
