package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.GossipMessage;
import io.samphiredyke.core.membership.GossipUpdates;
import io.samphiredyke.core.membership.MembershipSettings;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Pings that this process sends as a helper on behalf of other members. */
public final class PingRelays {

  private record Relay(String requester, long sequence, long deadline) {}

  private static final int MAX_RELAYS = 1000;

  private final MembershipSettings settings;
  private final LocalMember self;
  private final Outbox outbox;
  private final Map<Long, Relay> openRelays = new LinkedHashMap<>();

  /** Creates the ping relays of one membership. */
  public PingRelays(MembershipSettings settings, LocalMember self, Outbox outbox) {
    this.settings = settings;
    this.self = self;
    this.outbox = outbox;
  }

  /** Pings the target of a ping request. */
  public void received(GossipMessage.PingRequest request, long sequence, long now) {
    if (openRelays.size() >= MAX_RELAYS) {
      return;
    }
    long giveUpAt = now + settings.pingTimeoutNanos();
    openRelays.put(sequence, new Relay(request.header().address(), request.sequence(), giveUpAt));
    outbox.ping(request.target(), sequence);
  }

  /** Forwards an ack to the requester. */
  public void received(GossipMessage.Ack ack) {
    Relay relay = openRelays.remove(ack.sequence());
    if (relay != null) {
      GossipMessage forwarded =
          new GossipMessage.Ack(ack.header(), relay.sequence, GossipUpdates.NONE);
      outbox.send(relay.requester, forwarded);
    }
  }

  /** Removes relays that timed out and sends nacks; relays are in the order of their deadlines. */
  public void tick(long now) {
    Iterator<Relay> relays = openRelays.values().iterator();
    while (relays.hasNext()) {
      Relay relay = relays.next();
      if (now - relay.deadline < 0) {
        return;
      }
      relays.remove();
      outbox.send(relay.requester, new GossipMessage.Nack(self.header(), relay.sequence));
    }
  }

  /** Removes all relays, after a pause of this process. */
  public void clear() {
    openRelays.clear();
  }

  /** Returns the earliest deadline, at most the given time. */
  public long nextTick(long latest) {
    for (Relay relay : openRelays.values()) {
      return relay.deadline - latest < 0 ? relay.deadline : latest;
    }
    return latest;
  }
}
