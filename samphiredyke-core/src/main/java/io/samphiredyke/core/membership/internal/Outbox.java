package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.GossipHeader;
import io.samphiredyke.core.membership.GossipMessage;
import io.samphiredyke.core.membership.GossipUpdates;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.membership.MembershipSettings;
import io.samphiredyke.core.membership.MembershipSink;
import io.samphiredyke.core.membership.StateUpdate;
import java.util.ArrayList;
import java.util.List;

/** Sends messages with as many queued updates as fit. */
public final class Outbox {

  private final MembershipSettings settings;
  private final LocalMember self;
  private final MemberTable table;
  private final UpdateQueue queue;
  private final MembershipSink sink;

  /** Creates an outbox over the parts of one membership. */
  public Outbox(
      MembershipSettings settings,
      LocalMember self,
      MemberTable table,
      UpdateQueue queue,
      MembershipSink sink) {
    this.settings = settings;
    this.self = self;
    this.table = table;
    this.queue = queue;
    this.sink = sink;
  }

  /** Pings a member; one that is not seen alive is told so, that it may refute. */
  public void ping(String address, long sequence) {
    MemberEntry entry = table.at(address);
    GossipUpdates updates = entry == null ? queued() : queuedFor(entry.member());
    sink.send(address, new GossipMessage.Ping(self.header(), sequence, updates));
  }

  /** Pings a member that probably does not answer; spends no queued updates on it. */
  public void pingUnanswering(Member receiver, long sequence) {
    List<StateUpdate> states = new ArrayList<>();
    if (receiver.state() != MemberState.ALIVE) {
      states.add(StateUpdate.of(receiver, 0));
    }
    GossipUpdates updates = new GossipUpdates(List.of(), states);
    sink.send(receiver.address(), new GossipMessage.Ping(self.header(), sequence, updates));
  }

  /** Answers a ping. */
  public void ack(GossipHeader asker, long sequence) {
    MemberEntry entry = table.find(asker.memberId());
    GossipUpdates updates = entry == null ? queued() : queuedFor(entry.member());
    sink.send(asker.address(), new GossipMessage.Ack(self.header(), sequence, updates));
  }

  /** Asks a helper to ping a target. */
  public void pingRequest(String helper, long sequence, Member target) {
    sink.send(
        helper,
        new GossipMessage.PingRequest(
            self.header(), sequence, target.address(), target.shortId(), queued()));
  }

  /** Sends a message that carries no queued updates. */
  public void send(String address, GossipMessage message) {
    sink.send(address, message);
  }

  private GossipUpdates queued() {
    int sends = settings.retransmitFactor() * decimalDigits(table.liveCount() + 1);
    return queue.take(settings.maxUpdateBytes(), sends);
  }

  private static int decimalDigits(int members) {
    return (int) Math.ceil(Math.log10(members + 1.0));
  }

  private GossipUpdates queuedFor(Member receiver) {
    GossipUpdates updates = queued();
    if (receiver.state() == MemberState.ALIVE) {
      return updates;
    }
    List<StateUpdate> states = new ArrayList<>(updates.states());
    states.add(0, StateUpdate.of(receiver, 0));
    return new GossipUpdates(updates.members(), states);
  }
}
