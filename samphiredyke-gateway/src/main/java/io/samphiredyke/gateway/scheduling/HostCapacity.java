package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.membership.Member;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * How unlike hosts share the work.
 *
 * <p>It answers deployments where a few hosts have several times the processor and twenty times the
 * link of the others: schedulers run on strong hosts, and callers are sent there more often.
 */
public final class HostCapacity {

  private static final int HUNDREDTHS = 100;

  /**
   * Link, in megabits a second, that carries as many requests as one core: some 150 requests a
   * second at 7 ms each, of 10 KB in and out.
   */
  private static final double MEGABITS_PER_CORE = 25;

  /** Capacity assumed of a host that does not state it. */
  private static final int UNKNOWN = 100;

  /** Part of the largest capacity that a host needs to schedule for others. */
  private static final double STRONG_SHARE = 0.5;

  /**
   * How callers are spread: above 1, as a host that is twice as fast not only carries twice the
   * requests but also answers each one sooner.
   */
  private static final double SPREAD_EXPONENT = 1.5;

  private HostCapacity() {}

  /** Returns the capacity of a host, hundredths of a core. */
  public static int of(double cores, double linkMegabits) {
    double carried = Math.min(cores, linkMegabits / MEGABITS_PER_CORE);
    return (int) Math.max(1, Math.round(carried * HUNDREDTHS));
  }

  private static int of(Member member) {
    return member.capacity() > 0 ? member.capacity() : UNKNOWN;
  }

  /** Returns the members that are strong enough to work for the others. */
  static List<Member> strong(List<Member> members) {
    int largest = 0;
    for (Member member : members) {
      largest = Math.max(largest, of(member));
    }
    List<Member> strong = new ArrayList<>(members.size());
    for (Member member : members) {
      if (of(member) >= largest * STRONG_SHARE) {
        strong.add(member);
      }
    }
    return strong;
  }

  /** Draws some members, strong ones more likely, in an order drawn the same way. */
  public static List<Member> draw(List<Member> members, int count, RandomGenerator random) {
    record Ticket(Member member, double time) {}

    List<Ticket> tickets = new ArrayList<>(members.size());
    for (Member member : members) {
      double weight = Math.pow(of(member), SPREAD_EXPONENT);
      tickets.add(new Ticket(member, random.nextExponential() / weight));
    }
    tickets.sort(Comparator.comparingDouble(Ticket::time));
    List<Member> drawn = new ArrayList<>();
    for (Ticket ticket : tickets.subList(0, Math.min(count, tickets.size()))) {
      drawn.add(ticket.member());
    }
    return drawn;
  }
}
