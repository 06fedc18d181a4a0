package io.samphiredyke.gateway.store;

import io.samphiredyke.core.membership.Member;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.scheduling.PeerGroup;
import java.time.Duration;

/**
 * Notices that another host has a newer configuration than this one.
 *
 * <p>It answers a read at the store that waits on a connection that has gone silent, and a cut
 * between this host and the store alone. The other host is asked for its configuration, and the
 * store is read anew.
 */
public final class ConfigurationLagDetector {

  /** Hosts learn of a version within some ten milliseconds of each other. */
  private static final Duration TOLERATED = Duration.ofMillis(300);

  private final PeerGroup peers;
  private final PeerBootstrap belief;
  private final TopicFollower follower;
  private final DecisionLog log;
  private long behindSince;
  private boolean isBehind;

  /** Creates the watch. */
  public ConfigurationLagDetector(
      PeerGroup peers, PeerBootstrap belief, TopicFollower follower, DecisionLog log) {
    this.peers = peers;
    this.belief = belief;
    this.follower = follower;
    this.log = log;
  }

  /**
   * Compares the version in force here with those of the other hosts; called a few times a second.
   *
   * @param version the version in force here, -1 for none
   */
  public void check(long version, long now) {
    Member newest = null;
    for (Member member : peers.liveMembers()) {
      long best = newest == null ? version : newest.configurationOffset();
      if (member.configurationOffset() > best) {
        newest = member;
      }
    }
    if (newest == null) {
      isBehind = false;
      return;
    }
    if (!isBehind) {
      isBehind = true;
      behindSince = now;
    } else if (now - behindSince > TOLERATED.toNanos()) {
      behindSince = now;
      log.event(
          "config_behind",
          "version",
          version,
          "host",
          newest.name(),
          "newer",
          newest.configurationOffset());
      belief.askForConfiguration(newest);
      follower.restart();
    }
  }
}
