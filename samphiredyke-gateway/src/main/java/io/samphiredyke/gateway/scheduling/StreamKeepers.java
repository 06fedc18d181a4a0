package io.samphiredyke.gateway.scheduling;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the hosts that keep the origin of a stream, by rendezvous hashing of its id. The ranking
 * of an id changes little when hosts change.
 */
final class StreamKeepers {

  /** Hosts of a large group that keep the origin of a stream beside the one that began it. */
  static final int KEEPERS = 3;

  /** Hosts that are asked, more than keep it, as some of them may be new. */
  static final int ASKED_HOSTS = 6;

  private StreamKeepers() {}

  /** Returns all hosts of a small group, so that the loss of all but one is borne. */
  static List<String> keepers(String requestId, List<String> hosts) {
    return hosts.size() <= ASKED_HOSTS ? hosts : first(requestId, hosts, KEEPERS);
  }

  /** Returns the first hosts in the ranking of an id. */
  static List<String> first(String requestId, List<String> hosts, int count) {
    return hosts.stream()
        .sorted(Comparator.comparingLong(host -> weight(requestId, host)))
        .limit(count)
        .toList();
  }

  /** Returns whether fewer than a number of other hosts precede a host in the ranking of an id. */
  static boolean isAmongFirst(String host, String requestId, List<String> others, int count) {
    long weight = weight(requestId, host);
    int preceding = 0;
    for (String other : others) {
      if (weight(requestId, other) < weight && ++preceding == count) {
        return false;
      }
    }
    return true;
  }

  /** Returns a hash that orders hosts differently for each id. */
  static long weight(String requestId, String host) {
    return Hashing.komihash5_0().hashStream().putString(requestId).putString(host).getAsLong();
  }
}
