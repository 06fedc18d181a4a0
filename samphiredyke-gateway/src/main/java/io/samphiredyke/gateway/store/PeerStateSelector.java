package io.samphiredyke.gateway.store;

import io.samphiredyke.core.membership.Member;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Selects the host from which a starting host loads configuration and endpoints while the store is
 * unavailable, and decides how long a stopping host must keep them for others.
 *
 * <p>The host that states the newest configuration is asked as soon as it is known, also if it is
 * draining: it may be the last one that has the state, and it serves it until it stops. Hosts that
 * state none are asked less often, because what is known of them may be outdated.
 */
final class PeerStateSelector {

  /** Time after which the same host is asked again, and between requests to hosts without state. */
  private static final long RETRY_NANOS = Duration.ofMillis(300).toNanos();

  private final String self;
  private final RandomGenerator random;
  private final Map<String, Long> askedAt = new HashMap<>();
  private long lastAskedAt;

  /**
   * Creates a selector that has asked nobody.
   *
   * @param self peer address of this host
   */
  PeerStateSelector(String self, RandomGenerator random) {
    this.self = self;
    this.random = random;
  }

  /** Returns the host to ask now, or null. */
  @Nullable Member select(List<Member> live, long now) {
    List<Member> newest = new ArrayList<>();
    for (Member member : live) {
      if (member.address().equals(self) || wasAskedLately(member, now)) {
        continue;
      }
      if (!newest.isEmpty() && member.configurationOffset() > newest.get(0).configurationOffset()) {
        newest.clear();
      }
      if (newest.isEmpty() || member.configurationOffset() == newest.get(0).configurationOffset()) {
        newest.add(member);
      }
    }
    if (newest.isEmpty()) {
      return null;
    }
    Member selected = newest.get(random.nextInt(newest.size()));
    boolean isEarly = !askedAt.isEmpty() && now - lastAskedAt < RETRY_NANOS;
    if (selected.configurationOffset() < 0 && isEarly) {
      return null;
    }
    askedAt.put(selected.address(), now);
    lastAskedAt = now;
    return selected;
  }

  private boolean wasAskedLately(Member member, long now) {
    Long at = askedAt.get(member.address());
    return at != null && now - at < RETRY_NANOS;
  }

  /**
   * Returns whether a stopping host must stay because another host still lacks its configuration
   * and no host that goes on has it.
   *
   * @param version configuration version of the stopping host, negative for none
   * @param live live members, including the stopping host
   */
  boolean isNeeded(long version, List<Member> live) {
    boolean isLacking = false;
    for (Member member : live) {
      if (member.address().equals(self)) {
        continue;
      }
      boolean hasVersion = member.configurationOffset() >= version;
      if (hasVersion && !member.draining()) {
        return false;
      }
      isLacking |= !hasVersion;
    }
    return version >= 0 && isLacking;
  }
}
