package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.membership.IncarnationId;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.platform.HostSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Distributes work over hosts of unequal capacity.
 *
 * <p>In some deployments a few hosts have several times the CPU and twenty times the bandwidth of
 * the others. Schedulers run on the high-capacity hosts, and callers are directed to them more
 * often.
 */
public final class HostCapacity {

  private static final int UNITS_PER_CORE = 100;

  /**
   * Bandwidth in megabits per second that matches one core: about 150 requests per second, each
   * with 7 ms of CPU time and 10 KB in and out.
   */
  private static final double MEGABITS_PER_CORE = 25;

  /** Capacity of a host that reports none, in hundredths of a core. */
  private static final int DEFAULT_CAPACITY = 100;

  /** Minimum capacity of a scheduler host, as a share of the largest capacity in the group. */
  private static final double MIN_SCHEDULER_SHARE = 0.5;

  /**
   * Exponent that turns a capacity into a sampling weight. It is above 1 because a host that is
   * twice as fast not only handles twice the requests but also responds to each one sooner.
   */
  private static final double SPREAD_EXPONENT = 1.5;

  private HostCapacity() {}

  /** Returns the capacity of a host in hundredths of a core. */
  public static int of(double cores, double linkMegabits) {
    double effectiveCores = Math.min(cores, linkMegabits / MEGABITS_PER_CORE);
    return (int) Math.max(1, Math.round(effectiveCores * UNITS_PER_CORE));
  }

  private static int of(Member member) {
    return member.capacity() > 0 ? member.capacity() : DEFAULT_CAPACITY;
  }

  /** Returns the members with enough capacity to schedule for others. */
  static List<Member> highCapacity(List<Member> members) {
    int largest = 0;
    for (Member member : members) {
      largest = Math.max(largest, of(member));
    }
    List<Member> eligible = new ArrayList<>(members.size());
    for (Member member : members) {
      if (of(member) >= largest * MIN_SCHEDULER_SHARE) {
        eligible.add(member);
      }
    }
    return eligible;
  }

  /**
   * Draws a weighted random sample without replacement. Members of higher capacity are more likely
   * to be drawn and to come first.
   */
  public static List<Member> weightedSample(
      List<Member> members, int count, RandomGenerator random) {
    record Candidate(Member member, double sortKey) {}

    List<Candidate> candidates = new ArrayList<>(members.size());
    for (Member member : members) {
      double weight = Math.pow(of(member), SPREAD_EXPONENT);
      candidates.add(new Candidate(member, random.nextExponential() / weight));
    }
    candidates.sort(Comparator.comparingDouble(Candidate::sortKey));
    List<Member> sample = new ArrayList<>();
    for (Candidate candidate : candidates.subList(0, Math.min(count, candidates.size()))) {
      sample.add(candidate.member());
    }
    return sample;
  }

  /** Returns the membership entry of a host that starts, draining until it is ready. */
  public static Member member(HostSettings settings, RandomGenerator random) {
    return Member.builder()
        .name(settings.hostName())
        .address(settings.peerAddress())
        .incarnation(IncarnationId.random(random))
        .dataCentre(settings.dataCentre())
        .generation(System.currentTimeMillis() / 1_000)
        .draining(true)
        .callerAddress(settings.callerAddress())
        .capacity(of(settings.cores(), settings.linkMegabits()))
        .build();
  }

  /**
   * Returns the caller addresses of ready hosts. Suspected hosts are omitted unless there are no
   * others, because a caller that tries one of them loses a second.
   *
   * @param limit maximum number of addresses
   */
  public static List<String> readyAddresses(List<Member> live, int limit, RandomGenerator random) {
    List<Member> alive = new ArrayList<>();
    List<Member> suspected = new ArrayList<>();
    for (Member member : live) {
      if (!member.draining() && !member.callerAddress().isEmpty()) {
        (member.state() == MemberState.ALIVE ? alive : suspected).add(member);
      }
    }
    return weightedSample(alive.isEmpty() ? suspected : alive, limit, random).stream()
        .map(Member::callerAddress)
        .toList();
  }
}
