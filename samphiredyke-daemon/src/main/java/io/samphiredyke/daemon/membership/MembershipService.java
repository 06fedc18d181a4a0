package io.samphiredyke.daemon.membership;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.Future;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.membership.BrokerAssignment;
import io.samphiredyke.core.membership.GossipMessage;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberChange;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.membership.Membership;
import io.samphiredyke.core.membership.MembershipSettings;
import io.samphiredyke.core.membership.MembershipSink;
import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Runs the gossip membership protocol for this process.
 *
 * <p>All methods run on the control loop.
 */
public final class MembershipService implements MembershipSink {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ControlEventLoop loop;
  private final Membership membership;
  private final BiConsumer<String, GossipMessage> transport;
  private final List<Consumer<MemberChange>> listeners = new ArrayList<>();
  private @Nullable Future<?> timer;
  private List<Member> assignedMembers = List.of();
  private BrokerAssignment assignment = BrokerAssignment.over(List.of());

  /**
   * Creates a service that knows only the local member.
   *
   * @param transport sends a message to an address
   */
  public MembershipService(
      ControlEventLoop loop,
      Member self,
      RandomGenerator random,
      BiConsumer<String, GossipMessage> transport) {
    this.loop = loop;
    this.transport = transport;
    this.membership = new Membership(self, MembershipSettings.builder().build(), random, this);
  }

  /** Adds a listener to changes of members. */
  public void onChange(Consumer<MemberChange> listener) {
    listeners.add(listener);
  }

  /** Starts probing the other members. */
  public void start() {
    membership.start(loop.nanoTime());
    schedule();
  }

  /** Replaces the seed addresses, by which other members are first contacted. */
  public void replaceSeeds(Collection<String> addresses) {
    membership.replaceSeeds(addresses, loop.nanoTime());
    schedule();
  }

  /** Handles a gossip message of another process. */
  public void onMessage(GossipMessage message) {
    membership.received(message, loop.nanoTime());
    schedule();
  }

  /** Returns the members that are alive, this process included. */
  public List<Member> liveMembers() {
    return membership.liveMembers();
  }

  /** Returns the member at a peer address, if it is known. */
  public Optional<Member> find(String peerAddress) {
    return Optional.ofNullable(membership.find(peerAddress));
  }

  /**
   * Returns the member that runs the broker of an endpoint. The local member is always a candidate,
   * so there always is one.
   */
  public Optional<Member> broker(Endpoint endpoint) {
    List<Member> live = liveMembers();
    if (live != assignedMembers) {
      assignedMembers = live;
      assignment = BrokerAssignment.over(live);
    }
    return assignment
        .brokers(endpoint.name(), endpoint.dataCentre())
        .map(BrokerAssignment.Brokers::primary);
  }

  /** Sets the offset of the active configuration that is gossiped to other members. */
  public void configurationOffset(long offset) {
    membership.configurationOffset(offset);
  }

  /** Announces that this process is draining and accepts no new requests. */
  public void drain() {
    membership.draining(true);
  }

  /** Announces that this process leaves the cluster as planned. */
  public void leave() {
    membership.leave(loop.nanoTime());
    schedule();
  }

  @Override
  public void send(String address, GossipMessage message) {
    transport.accept(address, message);
  }

  @Override
  public void memberChanged(MemberChange change) {
    boolean isTransition =
        change.old() != change.current() && change.current() != MemberState.SUSPECT;
    if (isTransition && change.old() != MemberState.SUSPECT) {
      logger.atInfo().log(
          "member changed: name=%s address=%s state=%s cause=%s",
          change.member().name(), change.member().address(), change.current(), change.cause());
    }
    listeners.forEach(listener -> listener.accept(change));
  }

  private void schedule() {
    Future<?> pending = timer;
    if (pending != null) {
      pending.cancel(false);
    }
    long next = membership.nextTick();
    if (next == Long.MAX_VALUE) {
      return;
    }
    Duration delay = Duration.ofNanos(Math.max(0, next - loop.nanoTime()));
    timer = loop.schedule(this::tick, delay);
  }

  private void tick() {
    try {
      membership.tick(loop.nanoTime());
    } finally {
      schedule();
    }
  }
}
