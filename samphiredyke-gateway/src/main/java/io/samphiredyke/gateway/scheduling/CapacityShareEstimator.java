package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.membership.Member;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Estimates the share of quotas and slots that the visible part of the group may grant, by
 * comparing the live members with the registered hosts.
 *
 * <p>After a restart of all hosts and during a network partition, each host may schedule on its own
 * for a while. The shares keep the hosts from granting the same customer quota or slot several
 * times in total.
 */
final class CapacityShareEstimator {

  /** Longest time between two ticks of a process that was not paused. */
  private static final long MAX_TICK_NANOS = Duration.ofSeconds(2).toNanos();

  private final Set<String> registered = new HashSet<>();
  private final Map<String, Long> unseenSince = new HashMap<>();
  private final Duration quotaWindow;
  private @Nullable Long lastTickAt;

  /**
   * Creates an estimator that knows no hosts.
   *
   * @param quotaWindow how long a host that is not seen counts as a possible scheduler, whether it
   *     has died or was never seen; what it granted before is no longer charged after this time
   */
  CapacityShareEstimator(Duration quotaWindow) {
    this.quotaWindow = quotaWindow;
  }

  /** Adds the peer addresses of registered hosts, which may include hosts that no longer exist. */
  void addRegistered(Collection<String> addresses) {
    registered.addAll(addresses);
  }

  /** Leaves out a pause of this process, in which it could not have seen any host. */
  void tick(long now) {
    Long last = lastTickAt;
    lastTickAt = now;
    if (last != null && now - last > MAX_TICK_NANOS) {
      long pause = now - last - MAX_TICK_NANOS;
      unseenSince.replaceAll((address, since) -> since + pause);
    }
  }

  /** Records that a host was detected as dead or has left the group. */
  void markUnreachable(String address, long now) {
    unseenSince.put(address, now);
  }

  /**
   * Returns the share of each quota that the visible hosts may grant together. Half of the group or
   * more may grant the full quota, because a smaller part grants only its proportional share.
   *
   * @param live live members, including this host
   */
  double estimate(List<Member> live, long now) {
    Set<String> unseen = new HashSet<>(registered);
    for (Member member : live) {
      unseen.remove(member.address());
      unseenSince.remove(member.address());
    }
    unseen.removeIf(address -> now - unseenSince(address, now) > quotaWindow.toNanos());
    int total = live.size() + unseen.size();
    return live.size() * 2 >= total ? 1 : (double) live.size() / total;
  }

  private long unseenSince(String address, long now) {
    return unseenSince.computeIfAbsent(address, unknown -> now);
  }
}
