package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.GossipMessage;
import io.samphiredyke.core.membership.GossipUpdates;
import io.samphiredyke.core.membership.MembershipSettings;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Pings that this process makes as a helper of others. */
public final class Relays {

  private record Relay(String asker, long sequence, long giveUpAt) {}

  private static final int MAX_RELAYS = 1000;

  private final MembershipSettings settings;
  private final LocalMember self;
  private final Outbox outbox;
  private final Map<Long, Relay> open = new LinkedHashMap<>();

  /** Creates the relays of one membership. */
  public Relays(MembershipSettings settings, LocalMember self, Outbox outbox) {
    this.settings = settings;
    this.self = self;
    this.outbox = outbox;
  }

  /** Pings the target of a request. */
  public void received(GossipMessage.PingRequest request, long sequence, long now) {
    if (open.size() >= MAX_RELAYS) {
      return;
    }
    long giveUpAt = now + settings.pingTimeoutNanos();
    open.put(sequence, new Relay(request.header().address(), request.sequence(), giveUpAt));
    outbox.ping(request.target(), sequence);
  }

  /** Passes an answer on. */
  public void received(GossipMessage.Ack ack) {
    Relay relay = open.remove(ack.sequence());
    if (relay != null) {
      GossipMessage forwarded =
          new GossipMessage.Ack(ack.header(), relay.sequence, GossipUpdates.NONE);
      outbox.send(relay.asker, forwarded);
    }
  }

  /** Gives up the relays whose time is over; they are in the order of their ends. */
  public void tick(long now) {
    Iterator<Relay> relays = open.values().iterator();
    while (relays.hasNext()) {
      Relay relay = relays.next();
      if (now - relay.giveUpAt < 0) {
        return;
      }
      relays.remove();
      outbox.send(relay.asker, new GossipMessage.Nack(self.header(), relay.sequence));
    }
  }

  /** Forgets all relays, after this process was paused. */
  public void clear() {
    open.clear();
  }

  /** Time of the next end, or the given time if that is earlier. */
  public long nextTick(long latest) {
    for (Relay relay : open.values()) {
      return relay.giveUpAt - latest < 0 ? relay.giveUpAt : latest;
    }
    return latest;
  }
}
