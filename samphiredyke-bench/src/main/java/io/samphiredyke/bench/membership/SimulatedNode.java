package io.samphiredyke.bench.membership;

import io.samphiredyke.core.membership.GossipMessage;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.Membership;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** Host of a {@link SimulatedGroup} whose process can be stopped, paused and restarted. */
final class SimulatedNode {

  /** Messages that a paused process buffers; further ones are dropped. */
  private static final int RECEIVE_BUFFER_MESSAGES = 500;

  final int index;
  final String name;
  final String address;
  final String dataCentre;
  final int region;
  final Deque<GossipMessage> buffered = new ArrayDeque<>();

  @Nullable Membership membership;
  boolean paused;
  long startedAt;
  long scheduledTick = Long.MAX_VALUE;
  long bytes;

  SimulatedNode(int index, int dataCentres, int regions) {
    this.index = index;
    int dataCentreIndex = index % dataCentres;
    this.region = dataCentreIndex * regions / dataCentres;
    this.dataCentre = "region" + region + "-dc" + dataCentreIndex;
    this.name = "entry-" + dataCentreIndex + "-" + String.format("%03d", index);
    this.address =
        "10." + (20 + dataCentreIndex) + "." + index / 200 + "." + (index % 200 + 10) + ":7400";
  }

  boolean isUp() {
    return membership != null;
  }

  Member member() {
    Membership current = membership;
    if (current == null) {
      throw new IllegalStateException(name + " has no running process");
    }
    return current.self();
  }

  void buffer(GossipMessage message) {
    if (buffered.size() < RECEIVE_BUFFER_MESSAGES) {
      buffered.add(message);
    }
  }
}
