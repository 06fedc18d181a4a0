package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.membership.Member;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Estimates the share of quotas and slots that the visible part of the group may grant, by
 * comparing the live members with the registered hosts.
 *
 * <p>After a restart of all hosts and during a network partition, each host may schedule on its own
 * for a while. The shares keep the hosts from granting the same customer quota or slot several
 * times in total.
 */
final class CapacityShareEstimator {

  private final Set<String> registered = new HashSet<>();
  private final Map<String, Long> unreachableSince = new HashMap<>();
  private final Duration quotaWindow;

  /**
   * Creates an estimator that knows no hosts.
   *
   * @param quotaWindow how long a dead host still counts as a possible scheduler; what it granted
   *     before is no longer charged after this time
   */
  CapacityShareEstimator(Duration quotaWindow) {
    this.quotaWindow = quotaWindow;
  }

  /** Adds the peer addresses of registered hosts, which may include hosts that no longer exist. */
  void addRegistered(Collection<String> addresses) {
    registered.addAll(addresses);
  }

  /** Records that a host was detected as dead or has left the group. */
  void markUnreachable(String address, long now) {
    unreachableSince.put(address, now);
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
      unreachableSince.remove(member.address());
    }
    unseen.removeIf(
        address -> {
          Long since = unreachableSince.get(address);
          return since != null && now - since > quotaWindow.toNanos();
        });
    int total = live.size() + unseen.size();
    return live.size() * 2 >= total ? 1 : (double) live.size() / total;
  }
}
