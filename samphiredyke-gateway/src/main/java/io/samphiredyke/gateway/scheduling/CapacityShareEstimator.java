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
 * How much of the group a host sees, against the hosts that have registered.
 *
 * <p>It answers a restart of all hosts and cuts between them: each host then schedules for itself
 * for a while, and all together must not grant a customer's quota, or a place, many times.
 */
final class CapacityShareEstimator {

  /** A host that is seen dead for the window of quotas has granted nothing that still counts. */
  private static final Duration GONE_FOR_GOOD = Duration.ofSeconds(8);

  private final Set<String> listed = new HashSet<>();
  private final Map<String, Long> goneSince = new HashMap<>();

  /** Takes the peer addresses of hosts that have registered, gone ones among them. */
  void listed(Collection<String> addresses) {
    listed.addAll(addresses);
  }

  /** Notes that a host is seen dead or has left. */
  void gone(String address, long now) {
    goneSince.put(address, now);
  }

  /**
   * Returns the part of each quota that may be granted among the hosts that are seen: all of it
   * with half of the group or more, as the lesser part then grants little.
   *
   * @param live hosts that are seen, this one included
   */
  double share(List<Member> live, long now) {
    Set<String> others = new HashSet<>(listed);
    for (Member member : live) {
      others.remove(member.address());
      goneSince.remove(member.address());
    }
    others.removeIf(
        address -> {
          Long since = goneSince.get(address);
          return since != null && now - since > GONE_FOR_GOOD.toNanos();
        });
    int all = live.size() + others.size();
    return live.size() * 2 >= all ? 1 : (double) live.size() / all;
  }
}
