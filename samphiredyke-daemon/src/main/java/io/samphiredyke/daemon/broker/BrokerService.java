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
 * Runs the brokers of endpoints on this host. A broker is created when the first slot request for
 * its endpoint arrives.
 *
 * <p>Entries choose the broker of an endpoint from their view of the live hosts. If views differ,
 * an endpoint may have two brokers for a while. They may together exceed the concurrency limit
 * slightly, which violates no guarantee. All methods run on the control loop.
 */
public final class BrokerService {

  private static final Duration DELIVERY_TIMEOUT = Duration.ofMillis(500);
  private static final int DELIVERY_ATTEMPTS = 3;

  /** A broker with the timer of its next tick. */
  private static final class BrokerHandle {
    private final EndpointBroker broker;
    private @Nullable Future<?> timer;
    private long timerAt = Long.MAX_VALUE;

    BrokerHandle(EndpointBroker broker) {
      this.broker = broker;
    }
  }

  private final ControlEventLoop loop;
  private final PeerClient peers;
  private final Supplier<Configuration> configuration;
  private final Predicate<Endpoint> isDraining;
  private final InvariantChecker invariants;
  private final Map<String, BrokerHandle> brokers = new TreeMap<>();
  private final Map<String, PeerIdentity> requesters = new HashMap<>();

  /**
   * Creates a service without brokers.
   *
   * @param isDraining tests whether an endpoint is draining and accepts no new work
   */
  public BrokerService(
      ControlEventLoop loop,
      PeerClient peers,
      Supplier<Configuration> configuration,
      Predicate<Endpoint> isDraining,
      InvariantChecker invariants) {
    this.loop = loop;
    this.peers = peers;
    this.configuration = configuration;
    this.isDraining = isDraining;
    this.invariants = invariants;
  }

  /** Registers the handlers of the messages that entries send to brokers. */
  public void register(MessageRouter router) {
    router.addRoute(io.samphiredyke.schema.message.Claim.class, this::onSlotRequest);
    router.addRoute(Withdraw.class, this::onWithdraw);
    router.addRoute(io.samphiredyke.schema.message.Release.class, this::onRelease);
    router.addRoute(FirstToken.class, this::onFirstToken);
    router.addRoute(io.samphiredyke.schema.message.StreamSample.class, this::onSample);
    router.addRoute(Adopt.class, this::onAdopt);
  }

  /** Submits a slot request and replies with its decision, or acknowledges it if it was queued. */
  private void onSlotRequest(
      PeerIdentity from,
      io.samphiredyke.schema.message.Claim message,
      Consumer<PeerMessage> reply) {
    requesters.put(from.incarnation(), from);
    SlotRequest request = SlotMessages.toSlotRequest(message, from.incarnation(), loop.nanoTime());
    BrokerHandle handle = findOrCreate(message.endpoint());
    if (handle == null) {
      SlotRefusal refusal = new SlotRefusal(request, RefusalReason.NOT_BROKER, 0);
      reply.accept(SlotMessages.toMessage(refusal, emptyStatus(message.endpoint())));
      return;
    }
    List<BrokerDecision> decisions = handle.broker.submit(request, loop.nanoTime());
    List<BrokerDecision> others = new ArrayList<>(decisions);
    BrokerDecision ownDecision = removeDecision(others, request.key());
    if (ownDecision == null) {
      reply.accept(Acknowledgement.builder().build());
    } else {
      reply.accept(SlotMessages.toMessage(ownDecision, handle.broker.status(loop.nanoTime())));
    }
    execute(handle, others);
  }

  private static @Nullable BrokerDecision removeDecision(
      List<BrokerDecision> decisions, SlotRequestKey key) {
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
    update(message.endpoint(), broker -> broker.withdraw(key, loop.nanoTime()), reply);
  }

  private void onRelease(
      PeerIdentity from,
      io.samphiredyke.schema.message.Release message,
      Consumer<PeerMessage> reply) {
    update(
        message.endpoint(),
        broker -> broker.release(SlotMessages.toRelease(message), loop.nanoTime()),
        reply);
  }

  private void onFirstToken(PeerIdentity from, FirstToken message, Consumer<PeerMessage> reply) {
    SlotRequestKey key = new SlotRequestKey(message.requestId(), message.attempt());
    long nanos = TimeUnit.MICROSECONDS.toNanos(message.firstTokenMicros());
    update(message.endpoint(), broker -> broker.firstToken(key, nanos, loop.nanoTime()), reply);
  }

  private void onSample(
      PeerIdentity from,
      io.samphiredyke.schema.message.StreamSample message,
      Consumer<PeerMessage> reply) {
    long nanos = TimeUnit.MICROSECONDS.toNanos(message.meanTokenIntervalMicros());
    StreamSample sample = new StreamSample(message.streams(), nanos);
    update(message.endpoint(), broker -> broker.observe(sample, loop.nanoTime()), reply);
  }

  private void onAdopt(PeerIdentity from, Adopt message, Consumer<PeerMessage> reply) {
    requesters.put(from.incarnation(), from);
    SlotRequest request = SlotMessages.toSlotRequest(message, from.incarnation(), loop.nanoTime());
    HeldGrant held = new HeldGrant(request, loop.nanoTime(), message.prefilling());
    if (findOrCreate(message.endpoint()) == null) {
      reply.accept(Acknowledgement.builder().build());
      return;
    }
    update(
        message.endpoint(), broker -> broker.restoreGrants(List.of(held), loop.nanoTime()), reply);
  }

  /** Updates the drain state of the brokers after a change of the configuration or host list. */
  public void refresh() {
    for (Map.Entry<String, BrokerHandle> entry : List.copyOf(brokers.entrySet())) {
      Endpoint endpoint = configuration.get().endpoint(entry.getKey()).orElse(null);
      boolean draining = endpoint == null || isDraining.test(endpoint);
      BrokerHandle handle = entry.getValue();
      if (draining != handle.broker.status(loop.nanoTime()).draining()) {
        execute(handle, handle.broker.setDraining(draining, loop.nanoTime()));
      }
    }
  }

  /** Drops the queued slot requests of an entry that has failed or been replaced. */
  public void requesterLost(String incarnation) {
    if (requesters.remove(incarnation) == null) {
      return;
    }
    for (BrokerHandle handle : List.copyOf(brokers.values())) {
      execute(handle, handle.broker.requesterLost(incarnation, loop.nanoTime()));
    }
  }

  /** Returns the status of each broker. */
  public List<BrokerStatus> status() {
    return brokers.values().stream().map(b -> b.broker.status(loop.nanoTime())).toList();
  }

  /** An operation on a broker that returns the broker's decisions. */
  private interface BrokerUpdate {
    List<BrokerDecision> apply(EndpointBroker broker);
  }

  private void update(String endpoint, BrokerUpdate change, Consumer<PeerMessage> reply) {
    reply.accept(Acknowledgement.builder().build());
    BrokerHandle handle = brokers.get(endpoint);
    if (handle != null) {
      execute(handle, change.apply(handle.broker));
    }
  }

  private @Nullable BrokerHandle findOrCreate(String name) {
    BrokerHandle known = brokers.get(name);
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
    BrokerHandle created = new BrokerHandle(new EndpointBroker(name, options, invariants));
    created.broker.setDraining(isDraining.test(endpoint), loop.nanoTime());
    brokers.put(name, created);
    return created;
  }

  private static BrokerStatus emptyStatus(String endpoint) {
    return new BrokerStatus(endpoint, false, 0, 0, List.of(), List.of(), 0, 0);
  }

  private void execute(BrokerHandle handle, List<BrokerDecision> decisions) {
    if (!decisions.isEmpty()) {
      BrokerStatus status = handle.broker.status(loop.nanoTime());
      decisions.forEach(decision -> send(decision, status));
    }
    scheduleTick(handle);
  }

  private void send(BrokerDecision decision, BrokerStatus status) {
    PeerIdentity entry = requesters.get(decision.request().requester());
    if (entry == null) {
      return;
    }
    PeerMessage message = SlotMessages.toMessage(decision, status);
    peers.requestWithRetries(
        entry.address(), entry.incarnation(), message, DELIVERY_TIMEOUT, DELIVERY_ATTEMPTS);
  }

  private void scheduleTick(BrokerHandle handle) {
    long next = handle.broker.nextTick(loop.nanoTime());
    if (next == Long.MAX_VALUE || handle.timerAt <= next) {
      return;
    }
    Future<?> timer = handle.timer;
    if (timer != null) {
      timer.cancel(false);
    }
    handle.timerAt = next;
    handle.timer =
        loop.schedule(() -> tick(handle), Duration.ofNanos(Math.max(0, next - loop.nanoTime())));
  }

  private void tick(BrokerHandle handle) {
    handle.timerAt = Long.MAX_VALUE;
    execute(handle, handle.broker.tick(loop.nanoTime()));
  }
}
