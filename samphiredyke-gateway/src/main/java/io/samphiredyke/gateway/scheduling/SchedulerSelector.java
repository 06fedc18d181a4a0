package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.membership.BrokerAssignment;
import io.samphiredyke.core.membership.Member;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the host that schedules a service. All hosts that see the same members select the same
 * one.
 *
 * <p>A host that left messages unanswered is excluded for a while, long before the failure
 * detection of the membership declares it dead.
 */
final class SchedulerSelector {

  /** How long an unresponsive host is excluded, about the time of a restart. */
  private static final long EXCLUSION_NANOS = 1_000_000_000L;

  private final String self;
  private final Map<String, Long> excludedUntil = new HashMap<>();
  private List<Member> members = List.of();
  private BrokerAssignment assignment = BrokerAssignment.over(List.of());
  private long validUntil;

  SchedulerSelector(String self) {
    this.self = self;
  }

  /** Sets the live members, including this host. */
  void setMembers(List<Member> live) {
    if (live != members) {
      members = live;
      validUntil = Long.MIN_VALUE;
    }
  }

  /**
   * Returns the peer address of the scheduler of a service, or this host's if there is no other.
   */
  String select(String service, long now) {
    return brokers(service, now).map(brokers -> brokers.primary().address()).orElse(self);
  }

  /** Returns the peer addresses of the scheduler of a service and of the next one after it. */
  List<String> candidates(String service, long now) {
    List<String> addresses = new ArrayList<>();
    brokers(service, now)
        .ifPresent(
            brokers -> {
              addresses.add(brokers.primary().address());
              brokers.secondary().ifPresent(member -> addresses.add(member.address()));
            });
    return addresses;
  }

  private Optional<BrokerAssignment.Brokers> brokers(String service, long now) {
    if (validUntil == Long.MIN_VALUE || now - validUntil >= 0) {
      rebuild(now);
    }
    return assignment.brokers(service, "");
  }

  private void rebuild(long now) {
    excludedUntil.values().removeIf(until -> now - until >= 0);
    List<Member> usable = new ArrayList<>();
    for (Member member : members) {
      boolean isReady = !member.draining() || member.address().equals(self);
      if (isReady && !excludedUntil.containsKey(member.address())) {
        usable.add(member);
      }
    }
    assignment = BrokerAssignment.over(HostCapacity.highCapacity(usable));
    validUntil = now + EXCLUSION_NANOS;
    for (long until : excludedUntil.values()) {
      validUntil = Math.min(validUntil, until);
    }
  }

  /** Excludes a host that did not respond. */
  void markUnresponsive(String address, long now) {
    excludedUntil.put(address, now + EXCLUSION_NANOS);
    validUntil = Long.MIN_VALUE;
  }
}
