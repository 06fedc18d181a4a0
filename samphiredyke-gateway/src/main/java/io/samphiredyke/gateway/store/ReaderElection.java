package io.samphiredyke.gateway.store;

import io.samphiredyke.core.membership.BrokerAssignment;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.gateway.scheduling.PeerGroup;
import java.util.ArrayList;
import java.util.List;

/**
 * Elects the hosts that read a topic of the store on behalf of the others, among the live hosts
 * with enough capacity.
 */
final class ReaderElection {

  private final PeerGroup peers;
  private final String self;
  private final String topic;

  /**
   * Creates an election.
   *
   * @param topic name that distinguishes this election, so that topics have different readers
   */
  ReaderElection(PeerGroup peers, String self, String topic) {
    this.peers = peers;
    this.self = self;
    this.topic = topic;
  }

  /**
   * Returns the rank of this host, 0 if it is elected. It is at most {@code limit}, the rank of all
   * hosts behind those that are of interest, and 0 if there are no candidates.
   */
  int rank(int limit) {
    List<Member> candidates = new ArrayList<>(peers.highCapacityMembers());
    for (int rank = 0; rank < limit; rank++) {
      Member selected =
          BrokerAssignment.over(candidates)
              .brokers(topic, "")
              .map(BrokerAssignment.Brokers::primary)
              .orElse(null);
      if (selected == null) {
        return rank == 0 ? 0 : limit;
      }
      if (selected.address().equals(self)) {
        return rank;
      }
      candidates.remove(selected);
    }
    return limit;
  }
}
