package io.samphiredyke.core.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Assigns each endpoint to the live member that brokers it, by rendezvous hashing.
 *
 * <p>Members in the endpoint's data centre are preferred, to keep slot requests local. When a
 * member joins or leaves, only the endpoints that it brokers move. The hash covers the address, so
 * that a process restarted at the same address keeps its endpoints. Draining members are used only
 * if there is no other one.
 */
public final class BrokerAssignment {

  /**
   * Brokers of one endpoint.
   *
   * @param primary the member that brokers the endpoint
   * @param secondary the member that takes over if the primary fails or leaves, empty if there is
   *     none
   */
  public record Brokers(Member primary, Optional<Member> secondary) {}

  private record Candidate(Member member, long hash) {}

  private final List<Candidate> candidates;
  private final Map<String, Optional<Brokers>> cache = new HashMap<>();

  private BrokerAssignment(List<Candidate> candidates) {
    this.candidates = candidates;
  }

  /** Creates the assignment for the given {@link Membership#liveMembers() live members}. */
  public static BrokerAssignment over(List<Member> live) {
    List<Candidate> candidates = new ArrayList<>(live.size());
    for (Member member : live) {
      candidates.add(new Candidate(member, hashOf(member.address())));
    }
    return new BrokerAssignment(candidates);
  }

  private static long hashOf(String text) {
    return Hashing.komihash5_0().hashCharsToLong(text);
  }

  /**
   * Returns the brokers of an endpoint.
   *
   * @param endpoint name of the endpoint
   * @param dataCentre data centre of the endpoint
   * @return the brokers, empty only if there are no members
   */
  public Optional<Brokers> brokers(String endpoint, String dataCentre) {
    Optional<Brokers> known = cache.get(endpoint);
    if (known != null) {
      return known;
    }
    Optional<Brokers> chosen = choose(endpoint, dataCentre);
    cache.put(endpoint, chosen);
    return chosen;
  }

  private Optional<Brokers> choose(String endpoint, String dataCentre) {
    long endpointHash = hashOf(endpoint);
    Ranked first = null;
    Ranked second = null;
    for (Candidate candidate : candidates) {
      Ranked ranked = rank(candidate, endpointHash, dataCentre);
      if (first == null || ranked.isBefore(first)) {
        second = first;
        first = ranked;
      } else if (second == null || ranked.isBefore(second)) {
        second = ranked;
      }
    }
    if (first == null) {
      return Optional.empty();
    }
    Optional<Member> secondary = Optional.ofNullable(second).map(Ranked::member);
    return Optional.of(new Brokers(first.member(), secondary));
  }

  private static Ranked rank(Candidate candidate, long endpointHash, String dataCentre) {
    Member member = candidate.member();
    int locality = member.dataCentre().equals(dataCentre) ? 1 : 0;
    int preference = (member.draining() ? 0 : 2) + locality;
    long weight = Hashing.komihash5_0().hashLongLongToLong(endpointHash, candidate.hash());
    return new Ranked(member, preference, weight);
  }

  private record Ranked(Member member, int preference, long weight) {

    boolean isBefore(Ranked other) {
      if (preference != other.preference) {
        return preference > other.preference;
      }
      return Long.compareUnsigned(weight, other.weight) > 0;
    }
  }
}
