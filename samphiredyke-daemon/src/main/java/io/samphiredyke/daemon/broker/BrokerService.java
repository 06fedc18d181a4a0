package io.samphiredyke.daemon.broker;

import io.netty.util.concurrent.Future;
import io.samphiredyke.core.broker.BrokerDecision;
import io.samphiredyke.core.broker.BrokerOptions;
import io.samphiredyke.core.broker.BrokerStatus;
import io.samphiredyke.core.broker.EndpointBroker;
import io.samphiredyke.core.broker.HeldGrant;
import io.samphiredyke.core.broker.RefusalReason;
import io.samphiredyke.core.broker.SlotRefusal;
import io.samphiredyke.core.broker.SlotRequest;
import io.samphiredyke.core.broker.SlotRequestKey;
import io.samphiredyke.core.broker.StreamSample;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.daemon.peer.MessageRouter;
import io.samphiredyke.daemon.peer.PeerClient;
import io.samphiredyke.daemon.peer.SlotMessages;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.peer.PeerIdentity;
import io.samphiredyke.schema.message.Acknowledgement;
import io.samphiredyke.schema.message.Adopt;
import io.samphiredyke.schema.message.FirstToken;
import io.samphiredyke.schema.message.PeerMessage;
import io.samphiredyke.schema.message.Withdraw;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * The brokers that this host runs, made when the first claim for an endpoint arrives.
 *
 * <p>Which host brokers an endpoint is decided by the entries from their view of the live hosts;
 * two brokers of one endpoint at a time admit a little more than the limit and break no promise.
 * All methods run on the control loop.
 */
public final class BrokerService {

  private static final Duration DELIVERY_TIMEOUT = Duration.ofMillis(500);
  private static final int DELIVERY_ATTEMPTS = 3;

  private static final class Brokered {
    private final EndpointBroker broker;
    private @Nullable Future<?> timer;
    private long timerAt = Long.MAX_VALUE;

    Brokered(EndpointBroker broker) {
      this.broker = broker;
    }
  }

  private final ControlEventLoop loop;
  private final PeerClient peers;
  private final Supplier<Configuration> configuration;
  private final Predicate<Endpoint> isLeaving;
  private final InvariantChecker invariants;
  private final Map<String, Brokered> brokers = new TreeMap<>();
  private final Map<String, PeerIdentity> entries = new HashMap<>();

  /**
   * Creates a service without brokers.
   *
   * @param isLeaving whether an endpoint takes no new work
   */
  public BrokerService(
      ControlEventLoop loop,
      PeerClient peers,
      Supplier<Configuration> configuration,
      Predicate<Endpoint> isLeaving,
      InvariantChecker invariants) {
    this.loop = loop;
    this.peers = peers;
    this.configuration = configuration;
    this.isLeaving = isLeaving;
    this.invariants = invariants;
  }

  /** Adds the routes of the messages that entries send to brokers. */
  public void register(MessageRouter router) {
    router.on(io.samphiredyke.schema.message.Claim.class, this::onClaim);
    router.on(Withdraw.class, this::onWithdraw);
    router.on(io.samphiredyke.schema.message.Release.class, this::onRelease);
    router.on(FirstToken.class, this::onFirstToken);
    router.on(io.samphiredyke.schema.message.StreamSample.class, this::onSample);
    router.on(Adopt.class, this::onAdopt);
  }

  private void onClaim(
      PeerIdentity from,
      io.samphiredyke.schema.message.Claim message,
      Consumer<PeerMessage> reply) {
    entries.put(from.incarnation(), from);
    SlotRequest claim = SlotMessages.toClaim(message, from.incarnation(), loop.nanoTime());
    Brokered brokered = brokered(message.endpoint());
    if (brokered == null) {
      SlotRefusal refuse = new SlotRefusal(claim, RefusalReason.NOT_BROKER, 0);
      reply.accept(SlotMessages.toMessage(refuse, emptyStatus(message.endpoint())));
      return;
    }
    List<BrokerDecision> decisions = brokered.broker.submit(claim, loop.nanoTime());
    List<BrokerDecision> others = new ArrayList<>(decisions);
    BrokerDecision own = take(others, claim.key());
    if (own == null) {
      reply.accept(Acknowledgement.builder().build());
    } else {
      reply.accept(SlotMessages.toMessage(own, brokered.broker.status(loop.nanoTime())));
    }
    carryOut(brokered, others);
  }

  private static @Nullable BrokerDecision take(List<BrokerDecision> decisions, SlotRequestKey key) {
    for (BrokerDecision decision : decisions) {
      if (decision.request().key().equals(key)) {
        decisions.remove(decision);
        return decision;
      }
    }
    return null;
  }

  private void onWithdraw(PeerIdentity from, Withdraw message, Consumer<PeerMessage> reply) {
    SlotRequestKey key = new SlotRequestKey(message.requestId(), message.attempt());
    change(message.endpoint(), broker -> broker.withdraw(key, loop.nanoTime()), reply);
  }

  private void onRelease(
      PeerIdentity from,
      io.samphiredyke.schema.message.Release message,
      Consumer<PeerMessage> reply) {
    change(
        message.endpoint(),
        broker -> broker.release(SlotMessages.toRelease(message), loop.nanoTime()),
        reply);
  }

  private void onFirstToken(PeerIdentity from, FirstToken message, Consumer<PeerMessage> reply) {
    SlotRequestKey key = new SlotRequestKey(message.requestId(), message.attempt());
    long nanos = TimeUnit.MICROSECONDS.toNanos(message.firstTokenMicros());
    change(message.endpoint(), broker -> broker.firstToken(key, nanos, loop.nanoTime()), reply);
  }

  private void onSample(
      PeerIdentity from,
      io.samphiredyke.schema.message.StreamSample message,
      Consumer<PeerMessage> reply) {
    long nanos = TimeUnit.MICROSECONDS.toNanos(message.meanTokenIntervalMicros());
    StreamSample sample = new StreamSample(message.streams(), nanos);
    change(message.endpoint(), broker -> broker.observe(sample, loop.nanoTime()), reply);
  }

  private void onAdopt(PeerIdentity from, Adopt message, Consumer<PeerMessage> reply) {
    entries.put(from.incarnation(), from);
    SlotRequest claim = SlotMessages.toClaim(message, from.incarnation(), loop.nanoTime());
    HeldGrant held = new HeldGrant(claim, loop.nanoTime(), message.prefilling());
    if (brokered(message.endpoint()) == null) {
      reply.accept(Acknowledgement.builder().build());
      return;
    }
    change(
        message.endpoint(), broker -> broker.restoreGrants(List.of(held), loop.nanoTime()), reply);
  }

  /** Applies a changed configuration or host list. */
  public void refresh() {
    for (Map.Entry<String, Brokered> entry : List.copyOf(brokers.entrySet())) {
      Endpoint endpoint = configuration.get().endpoint(entry.getKey()).orElse(null);
      boolean leaving = endpoint == null || isLeaving.test(endpoint);
      Brokered brokered = entry.getValue();
      if (leaving != brokered.broker.status(loop.nanoTime()).draining()) {
        carryOut(brokered, brokered.broker.setDraining(leaving, loop.nanoTime()));
      }
    }
  }

  /** Drops the queued claims of an entry that is gone. */
  public void entryLost(String incarnation) {
    if (entries.remove(incarnation) == null) {
      return;
    }
    for (Brokered brokered : List.copyOf(brokers.values())) {
      carryOut(brokered, brokered.broker.requesterLost(incarnation, loop.nanoTime()));
    }
  }

  /** Returns the state of each broker. */
  public List<BrokerStatus> status() {
    return brokers.values().stream().map(b -> b.broker.status(loop.nanoTime())).toList();
  }

  private interface Change {
    List<BrokerDecision> apply(EndpointBroker broker);
  }

  private void change(String endpoint, Change change, Consumer<PeerMessage> reply) {
    reply.accept(Acknowledgement.builder().build());
    Brokered brokered = brokers.get(endpoint);
    if (brokered != null) {
      carryOut(brokered, change.apply(brokered.broker));
    }
  }

  private @Nullable Brokered brokered(String name) {
    Brokered known = brokers.get(name);
    if (known != null) {
      return known;
    }
    Endpoint endpoint = configuration.get().endpoint(name).orElse(null);
    if (endpoint == null) {
      return null;
    }
    BrokerOptions options =
        BrokerOptions.builder()
            .initialLimit(endpoint.maxConcurrency())
            .maximumLimit(endpoint.maxConcurrency())
            .build();
    Brokered made = new Brokered(new EndpointBroker(name, options, invariants));
    made.broker.setDraining(isLeaving.test(endpoint), loop.nanoTime());
    brokers.put(name, made);
    return made;
  }

  private static BrokerStatus emptyStatus(String endpoint) {
    return new BrokerStatus(endpoint, false, 0, 0, List.of(), List.of(), 0, 0);
  }

  private void carryOut(Brokered brokered, List<BrokerDecision> decisions) {
    if (!decisions.isEmpty()) {
      BrokerStatus hint = brokered.broker.status(loop.nanoTime());
      decisions.forEach(decision -> send(decision, hint));
    }
    scheduleTick(brokered);
  }

  private void send(BrokerDecision decision, BrokerStatus hint) {
    PeerIdentity entry = entries.get(decision.request().requester());
    if (entry == null) {
      return;
    }
    PeerMessage message = SlotMessages.toMessage(decision, hint);
    peers.deliver(
        entry.address(), entry.incarnation(), message, DELIVERY_TIMEOUT, DELIVERY_ATTEMPTS);
  }

  private void scheduleTick(Brokered brokered) {
    long next = brokered.broker.nextTick(loop.nanoTime());
    if (next == Long.MAX_VALUE || brokered.timerAt <= next) {
      return;
    }
    Future<?> timer = brokered.timer;
    if (timer != null) {
      timer.cancel(false);
    }
    brokered.timerAt = next;
    brokered.timer =
        loop.schedule(() -> tick(brokered), Duration.ofNanos(Math.max(0, next - loop.nanoTime())));
  }

  private void tick(Brokered brokered) {
    brokered.timerAt = Long.MAX_VALUE;
    carryOut(brokered, brokered.broker.tick(loop.nanoTime()));
  }
}
