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
 * <p>Members in the endpoint's data centre go first, so that claims stay near it. A member that
 * joins or goes moves only the endpoints that it brokers. The hash covers the address, so a process
 * that restarts in place keeps its endpoints. Members that drain are passed over while others are
 * there.
 */
public final class BrokerAssignment {

  /**
   * Brokers of one endpoint.
   *
   * @param primary the member that brokers it
   * @param secondary the member that takes over without the primary, empty if there is no other
   */
  public record Brokers(Member primary, Optional<Member> secondary) {}

  private record Candidate(Member member, long hash) {}

  private final List<Candidate> candidates;
  private final Map<String, Optional<Brokers>> cache = new HashMap<>();

  private BrokerAssignment(List<Candidate> candidates) {
    this.candidates = candidates;
  }

  /** Creates the assignment over {@link Membership#liveMembers()}. */
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
   * Finds the brokers of an endpoint.
   *
   * @param endpoint name of the endpoint
   * @param dataCentre data centre of the endpoint
   * @return empty only if there is no member
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
    Optional<Member> runnerUp = Optional.ofNullable(second).map(Ranked::member);
    return Optional.of(new Brokers(first.member(), runnerUp));
  }

  private static Ranked rank(Candidate candidate, long endpointHash, String dataCentre) {
    Member member = candidate.member();
    int near = member.dataCentre().equals(dataCentre) ? 1 : 0;
    int preference = (member.draining() ? 0 : 2) + near;
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
