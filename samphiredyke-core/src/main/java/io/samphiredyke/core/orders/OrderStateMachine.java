package io.samphiredyke.core.orders;

import io.samphiredyke.core.config.Placement;
import io.samphiredyke.core.invariant.Invariant;
import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.orders.LeaseRecord.HeldLease;
import io.samphiredyke.core.orders.LeaseRecord.LoadEnd;
import io.samphiredyke.core.orders.LeaseRecord.SessionEnd;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Decides which endpoints this host takes and which orders it sends there.
 *
 * <p>Events are noted; {@link #tick} is to be called after each of them and returns what to do. An
 * order is only decided in answer to a state that was just read, and is to be sent at once. Not
 * thread-safe.
 */
public final class OrderStateMachine {

  /** An order is sent only by the holder, with ample lease left. */
  public static final Invariant ORDER_WITH_LEASE = Invariant.fatal("order-only-with-ample-lease");

  /** The fencing numbers sent to an endpoint never decrease. */
  public static final Invariant FENCE_NEVER_DECREASES =
      Invariant.fatal("fencing-number-never-decreases");

  private final String session;
  private final OrderSettings settings;
  private final InvariantChecker invariants;
  private final LeaseStream stream;
  private final LeaseKeeper keeper;
  private final Map<String, Placement> wishes = new TreeMap<>();
  private final Set<String> configured = new TreeSet<>();
  private final Map<String, EndpointOrders> endpoints = new TreeMap<>();
  private final Map<String, Long> sentFences = new HashMap<>();
  private final Map<String, Long> releasedFences = new HashMap<>();
  private final Map<String, Long> endedLoads = new HashMap<>();
  private final long snapshotJitter;
  private long attempts;
  private long ordersSent;

  /**
   * Creates a machine that has read nothing.
   *
   * @param session unique to this run of the process
   * @param now the time in nanoseconds
   */
  public OrderStateMachine(
      String session,
      OrderSettings settings,
      InvariantChecker invariants,
      RandomGenerator random,
      long now) {
    this.session = session;
    this.settings = settings;
    this.invariants = invariants;
    this.stream = new LeaseStream(now);
    this.keeper = new LeaseKeeper(session, settings, random);
    this.snapshotJitter = random.nextLong(Math.max(1, settings.snapshotInterval() / 2));
  }

  /** Returns the offset of the next record to read. */
  public long nextOffset() {
    return stream.nextOffset();
  }

  /** Returns the number of orders decided. */
  public long ordersSent() {
    return ordersSent;
  }

  /** Returns the leases that this host holds by the log, whether or not they have lapsed. */
  public List<HeldLease> heldLeases() {
    return stream.table().holds(session);
  }

  /** Returns whether an endpoint was in the wanted state when it was last read. */
  public boolean isInDesiredState(String endpoint) {
    EndpointOrders orders = endpoints.get(endpoint);
    return orders != null && orders.isInWantedState();
  }

  /** Returns how much of the lease is left in nanoseconds, negative if none is. */
  public long leaseLeft(long now) {
    return keeper.leaseLeft(now);
  }

  /**
   * Sets the endpoints that this host should hold; it takes those that become free and releases all
   * others.
   *
   * @param wanted the wanted state by endpoint
   * @param allEndpoints all endpoints with a wanted state, of all hosts
   */
  public void setDesiredPlacements(
      Map<String, Placement> wanted, Set<String> allEndpoints, long now) {
    wishes.clear();
    wishes.putAll(wanted);
    configured.clear();
    configured.addAll(allEndpoints);
    syncEndpoints(now);
  }

  /** Takes in records of the stream in the order of their offsets. */
  public void read(List<LeaseEntry> entries, long now) {
    for (LeaseEntry entry : entries) {
      stream.read(entry, now);
      LeaseRecord record = entry.lease();
      if (record != null) {
        keeper.applied(record, heldLeases());
      } else if (heldLeases().isEmpty()) {
        keeper.reset();
      }
    }
    syncEndpoints(now);
  }

  /** Notes that the log no longer has the record at {@link #nextOffset()}. */
  public void offsetOutOfRange(long first, long now) {
    stream.expired(first, now);
    keeper.reset();
    syncEndpoints(now);
  }

  /** Notes that an append failed or its answer was lost. */
  public void appendFailed(long now) {
    keeper.failed(now);
  }

  private void syncEndpoints(long now) {
    Map<String, EndpointOrders> held = new TreeMap<>();
    for (HeldLease hold : heldLeases()) {
      if (isReleased(hold)) {
        continue;
      }
      EndpointOrders present = endpoints.get(hold.endpoint());
      Placement wanted = wishes.get(hold.endpoint());
      if (present != null && present.fence() == hold.fence()) {
        held.put(hold.endpoint(), present);
        if (wanted != null) {
          present.want(wanted, now);
        }
      } else if (wanted != null) {
        held.put(hold.endpoint(), new EndpointOrders(hold.fence(), wanted, settings, now));
      }
    }
    endpoints.clear();
    endpoints.putAll(held);
  }

  /** Returns what is to be done now. */
  public List<OrderDecision> tick(long now) {
    List<OrderDecision> decisions = new ArrayList<>();
    if (keeper.isAmple(now)) {
      endpoints.forEach((name, orders) -> readIfDue(name, orders, now, decisions));
    }
    if (keeper.mayAppend(now)) {
      append(now, decisions);
    }
    return decisions;
  }

  private void readIfDue(
      String name, EndpointOrders orders, long now, List<OrderDecision> decisions) {
    boolean isKept = wishes.containsKey(name) || orders.phase() != EndpointOrders.Phase.IDLE;
    if (!isKept) {
      return;
    }
    long attempt = orders.tick(now, attempts + 1);
    if (attempt > 0) {
      attempts = attempt;
      decisions.add(new OrderDecision.ReadState(name, attempt));
    }
  }

  /** Notes an engine's state; the order that follows from it is to be sent at once. */
  public List<OrderDecision> stateRead(String endpoint, long attempt, EngineState state, long now) {
    EndpointOrders orders = endpoints.get(endpoint);
    if (orders == null) {
      return List.of();
    }
    EngineOrder order = orders.stateRead(attempt, state, isLoadGranted(endpoint), now);
    if (order == null) {
      return List.of();
    }
    if (!keeper.isAmple(now) || !wishes.containsKey(endpoint)) {
      orders.dropped(now);
      return List.of();
    }
    check(endpoint, order, now);
    orders.ordering(order, now);
    ordersSent++;
    return List.of(new OrderDecision.SendOrder(endpoint, attempt, order));
  }

  private void check(String endpoint, EngineOrder order, long now) {
    boolean isHeld = heldLeases().contains(new HeldLease(endpoint, order.fence()));
    boolean isAmple = keeper.leaseLeft(now) >= settings.minRemainingLease();
    invariants.check(
        ORDER_WITH_LEASE,
        isHeld && isAmple,
        () -> endpoint + " held=" + isHeld + " left=" + keeper.leaseLeft(now));
    long sent = sentFences.getOrDefault(endpoint, -1L);
    invariants.check(
        FENCE_NEVER_DECREASES,
        order.fence() >= sent,
        () -> endpoint + " fence=" + order.fence() + " after " + sent);
    sentFences.put(endpoint, order.fence());
  }

  /** Notes that an engine's state couldn't be read. */
  public void readFailed(String endpoint, long attempt, long now) {
    EndpointOrders orders = endpoints.get(endpoint);
    if (orders != null) {
      orders.readFailed(attempt, now);
    }
  }

  /**
   * Notes the answer to an order.
   *
   * @param isAccepted whether the engine took it; false if refused, failed or unknown
   */
  public void orderEnded(String endpoint, long attempt, boolean isAccepted, long now) {
    EndpointOrders orders = endpoints.get(endpoint);
    if (orders != null) {
      orders.orderEnded(attempt, isAccepted, now);
    }
  }

  /** A request whose end was sent isn't used again, as the end may take effect at any time. */
  private boolean isLoadGranted(String endpoint) {
    Long requestedAt = stream.table().loads().get(endpoint);
    return requestedAt != null
        && !requestedAt.equals(endedLoads.get(endpoint))
        && stream.table().isLoadGranted(endpoint, settings.maxConcurrentLoads());
  }

  private void append(long now, List<OrderDecision> decisions) {
    if (!stream.isKnown()) {
      if (stream.sinceSnapshot(now) >= 2 * settings.leaseDuration()) {
        appendSnapshot(LeaseSnapshot.reset(), now, decisions);
      }
      return;
    }
    boolean holdsAny = !heldLeases().isEmpty();
    if (holdsAny && stream.sinceSnapshot(now) >= settings.snapshotInterval() + snapshotJitter) {
      appendSnapshot(stream.table().snapshot(stream.nextOffset()), now, decisions);
      return;
    }
    LeaseRecord.Builder builder = LeaseRecord.builder().isContinuation(holdsAny);
    addLeases(builder, now);
    addLoads(builder);
    boolean isRenewal = builder.build().isRenewal();
    if (isRenewal && !(holdsAny && keeper.isRenewalDue(now))) {
      return;
    }
    decisions.add(new OrderDecision.Append(keeper.send(builder, now)));
  }

  private void appendSnapshot(LeaseSnapshot snapshot, long now, List<OrderDecision> decisions) {
    keeper.pause(now);
    stream.snapshotSent(now);
    decisions.add(new OrderDecision.AppendSnapshot(snapshot));
  }

  private void addLeases(LeaseRecord.Builder builder, long now) {
    List<String> takes = new ArrayList<>();
    Set<String> lapsed = new TreeSet<>();
    if (stream.isPastReset(now, settings.takeoverWait())) {
      for (String endpoint : wishes.keySet()) {
        String holder = stream.table().lease(endpoint).map(LeaseTable.Lease::session).orElse(null);
        if (holder == null) {
          takes.add(endpoint);
        } else if (isLapsed(holder, now)) {
          lapsed.add(holder);
          takes.add(endpoint);
        }
      }
    }
    builder.takes(takes).ends(lapsed.stream().map(this::endOf).toList()).releases(releases(now));
  }

  private boolean isLapsed(@Nullable String holder, long now) {
    return holder != null
        && !holder.equals(session)
        && stream.isLapsed(holder, now, settings.takeoverWait());
  }

  private SessionEnd endOf(String lapsed) {
    return new SessionEnd(lapsed, stream.table().lastOffset(lapsed).orElse(-1L));
  }

  /**
   * Returns the leases to give up. A release that was sent once may take effect at any time, so
   * nothing is ordered under its lease any more and it is sent until it has taken effect.
   */
  private List<HeldLease> releases(long now) {
    List<HeldLease> released =
        heldLeases().stream().filter(hold -> isReleased(hold) || isToRelease(hold, now)).toList();
    released.forEach(hold -> releasedFences.put(hold.endpoint(), hold.fence()));
    syncEndpoints(now);
    return released;
  }

  private boolean isReleased(HeldLease hold) {
    return releasedFences.getOrDefault(hold.endpoint(), -1L) == hold.fence();
  }

  private boolean isToRelease(HeldLease hold, long now) {
    return !wishes.containsKey(hold.endpoint()) && isSettled(hold.endpoint(), now);
  }

  private boolean isSettled(String endpoint, long now) {
    EndpointOrders orders = endpoints.get(endpoint);
    return orders == null || orders.isSettled(now);
  }

  private void addLoads(LeaseRecord.Builder builder) {
    Map<String, Long> loads = stream.table().loads();
    List<String> requests = new ArrayList<>();
    List<LoadEnd> ends = new ArrayList<>();
    endpoints.forEach(
        (name, orders) -> {
          Long requestedAt = loads.get(name);
          if (orders.wantsLoad() && requestedAt == null) {
            requests.add(name);
          } else if (requestedAt != null && isLoadToEnd(name, orders, requestedAt)) {
            ends.add(new LoadEnd(name, requestedAt));
            endedLoads.put(name, requestedAt);
          }
        });
    loads.forEach(
        (name, requestedAt) -> {
          if (stream.table().lease(name).isEmpty() && !configured.contains(name)) {
            ends.add(new LoadEnd(name, requestedAt));
          }
        });
    builder.loadRequests(requests).loadEnds(ends);
  }

  private boolean isLoadToEnd(String name, EndpointOrders orders, long requestedAt) {
    return orders.isLoadOver() || Long.valueOf(requestedAt).equals(endedLoads.get(name));
  }
}
