package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.membership.BrokerAssignment;
import io.samphiredyke.core.membership.Member;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the host that schedules a service: the same for all hosts that see the same members.
 *
 * <p>A host that left a question unanswered is passed over for a while, long before the membership
 * finds it dead.
 */
final class SchedulerSelector {

  /** How long a silent host is passed over, nanoseconds; a restart takes about as long. */
  private static final long SILENCE_NANOS = 1_000_000_000L;

  private final String self;
  private final Map<String, Long> silentUntil = new HashMap<>();
  private List<Member> members = List.of();
  private BrokerAssignment assignment = BrokerAssignment.over(List.of());
  private long validUntil;

  SchedulerSelector(String self) {
    this.self = self;
  }

  /** Takes the members that are alive, this host included. */
  void members(List<Member> live) {
    if (live != members) {
      members = live;
      validUntil = Long.MIN_VALUE;
    }
  }

  /** Returns the peer address of the scheduler of a service. */
  String scheduler(String service, long now) {
    if (validUntil == Long.MIN_VALUE || now - validUntil >= 0) {
      rebuild(now);
    }
    return assignment.brokers(service, "").map(found -> found.primary().address()).orElse(self);
  }

  private void rebuild(long now) {
    silentUntil.values().removeIf(until -> now - until >= 0);
    List<Member> usable = new ArrayList<>();
    for (Member member : members) {
      boolean isReady = !member.draining() || member.address().equals(self);
      if (isReady && !silentUntil.containsKey(member.address())) {
        usable.add(member);
      }
    }
    assignment = BrokerAssignment.over(HostCapacity.strong(usable));
    validUntil = now + SILENCE_NANOS;
    for (long until : silentUntil.values()) {
      validUntil = Math.min(validUntil, until);
    }
  }

  /** Notes that a host did not answer. */
  void silent(String address, long now) {
    silentUntil.put(address, now + SILENCE_NANOS);
    validUntil = Long.MIN_VALUE;
  }
}
