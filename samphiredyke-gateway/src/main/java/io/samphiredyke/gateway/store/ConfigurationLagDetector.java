package io.samphiredyke.gateway.store;

import io.samphiredyke.core.membership.Member;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.scheduling.PeerGroup;
import java.time.Duration;

/**
 * Detects that another host has a newer configuration than this one.
 *
 * <p>This happens if a long poll hangs on a dead connection, or if only this host is cut off from
 * the store. The configuration is then fetched from the other host, and a new snapshot is read from
 * the store.
 */
public final class ConfigurationLagDetector {

  /** Tolerated lag; all hosts usually receive a version within tens of milliseconds. */
  private static final Duration TOLERATED_LAG = Duration.ofMillis(300);

  private final PeerGroup peers;
  private final PeerBootstrap bootstrap;
  private final TopicFollower follower;
  private final DecisionLog log;
  private long behindSince;
  private boolean isBehind;

  /** Creates a detector. */
  public ConfigurationLagDetector(
      PeerGroup peers, PeerBootstrap bootstrap, TopicFollower follower, DecisionLog log) {
    this.peers = peers;
    this.bootstrap = bootstrap;
    this.follower = follower;
    this.log = log;
  }

  /**
   * Compares the active version with those of the other hosts. Called several times per second.
   *
   * @param version version that is active on this host, -1 for none
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
    } else if (now - behindSince > TOLERATED_LAG.toNanos()) {
      behindSince = now;
      log.event(
          "config_behind",
          "version",
          version,
          "host",
          newest.name(),
          "newer",
          newest.configurationOffset());
      bootstrap.fetchConfiguration(newest);
      follower.restart();
    }
  }
}
