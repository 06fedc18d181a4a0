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
 * State machine that decides which endpoint leases this host takes and which orders it sends to the
 * engines.
 *
 * <p>Events update the state; {@link #tick} must be called after each of them and returns the
 * actions to carry out. An order is decided only in response to a state that has just been read,
 * and must be sent immediately. Not thread-safe.
 */
public final class OrderStateMachine {

  /** An order is sent only by the holder of the lease, while the minimum time of it remains. */
  public static final Invariant ORDER_WITH_LEASE = Invariant.fatal("order-only-with-ample-lease");

  /** The fencing tokens sent to an endpoint never decrease. */
  public static final Invariant FENCE_NEVER_DECREASES =
      Invariant.fatal("fencing-number-never-decreases");

  private final String session;
  private final OrderSettings settings;
  private final InvariantChecker invariants;
  private final LeaseStream stream;
  private final SessionLease ownLease;
  private final Map<String, Placement> desiredPlacements = new TreeMap<>();
  private final Set<String> configuredEndpoints = new TreeSet<>();
  private final Map<String, EndpointReconciler> endpoints = new TreeMap<>();
  private final Map<String, Long> sentFences = new HashMap<>();
  private final Map<String, Long> releasedFences = new HashMap<>();
  private final Map<String, Long> endedLoads = new HashMap<>();
  private final long snapshotJitter;
  private long attempts;
  private long ordersSent;

  /**
   * Creates a state machine that has not read any records.
   *
   * @param session session name, unique to this run of the process
   * @param now current time in nanoseconds
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
    this.ownLease = new SessionLease(session, settings, random);
    this.snapshotJitter = random.nextLong(Math.max(1, settings.snapshotInterval() / 2));
  }

  /** Returns the offset of the next record to read. */
  public long nextOffset() {
    return stream.nextOffset();
  }

  /** Returns the number of orders decided so far. */
  public long ordersSent() {
    return ordersSent;
  }

  /** Returns the leases that this host holds according to the log, even if they have expired. */
  public List<HeldLease> heldLeases() {
    return stream.table().heldLeases(session);
  }

  /** Returns whether an endpoint was in the desired state when it was last read. */
  public boolean isInDesiredState(String endpoint) {
    EndpointReconciler reconciler = endpoints.get(endpoint);
    return reconciler != null && reconciler.isInDesiredState();
  }

  /** Returns the remaining time of the lease in nanoseconds, negative if there is none. */
  public long remainingLease(long now) {
    return ownLease.remaining(now);
  }

  /**
   * Sets the endpoints assigned to this host. The host takes their leases when they are free and
   * releases all other leases.
   *
   * @param desired the desired state of the assigned endpoints, by name
   * @param allEndpoints all endpoints of all hosts that have a desired state
   */
  public void setDesiredPlacements(
      Map<String, Placement> desired, Set<String> allEndpoints, long now) {
    desiredPlacements.clear();
    desiredPlacements.putAll(desired);
    configuredEndpoints.clear();
    configuredEndpoints.addAll(allEndpoints);
    syncEndpoints(now);
  }

  /** Handles records of the stream, in the order of their offsets. */
  public void read(List<LeaseEntry> entries, long now) {
    for (LeaseEntry entry : entries) {
      stream.read(entry, now);
      LeaseRecord record = entry.lease();
      if (record != null) {
        ownLease.recordApplied(record, heldLeases());
      } else if (heldLeases().isEmpty()) {
        ownLease.reset();
      }
    }
    syncEndpoints(now);
  }

  /**
   * Handles that the log no longer contains the record at {@link #nextOffset()}.
   *
   * @param first the first offset that the log contains
   * @param now current time in nanoseconds
   */
  public void offsetOutOfRange(long first, long now) {
    stream.restartAt(first, now);
    ownLease.reset();
    syncEndpoints(now);
  }

  /** Handles a failed append or a lost response to an append. */
  public void appendFailed(long now) {
    ownLease.appendFailed(now);
  }

  private void syncEndpoints(long now) {
    Map<String, EndpointReconciler> held = new TreeMap<>();
    for (HeldLease lease : heldLeases()) {
      if (isReleased(lease)) {
        continue;
      }
      EndpointReconciler reconciler = endpoints.get(lease.endpoint());
      Placement desired = desiredPlacements.get(lease.endpoint());
      if (reconciler != null && reconciler.fence() == lease.fence()) {
        held.put(lease.endpoint(), reconciler);
        if (desired != null) {
          reconciler.setDesired(desired, now);
        }
      } else if (desired != null) {
        held.put(lease.endpoint(), new EndpointReconciler(lease.fence(), desired, settings, now));
      }
    }
    endpoints.clear();
    endpoints.putAll(held);
  }

  /** Returns the actions to carry out now. */
  public List<OrderDecision> tick(long now) {
    List<OrderDecision> decisions = new ArrayList<>();
    if (ownLease.hasMinRemaining(now)) {
      endpoints.forEach((name, reconciler) -> readIfDue(name, reconciler, now, decisions));
    }
    if (ownLease.mayAppend(now)) {
      append(now, decisions);
    }
    return decisions;
  }

  private void readIfDue(
      String name, EndpointReconciler reconciler, long now, List<OrderDecision> decisions) {
    boolean isActive =
        desiredPlacements.containsKey(name) || reconciler.phase() != EndpointReconciler.Phase.IDLE;
    if (!isActive) {
      return;
    }
    long attempt = reconciler.tick(now, attempts + 1);
    if (attempt > 0) {
      attempts = attempt;
      decisions.add(new OrderDecision.ReadState(name, attempt));
    }
  }

  /** Handles an engine's state; the resulting order must be sent immediately. */
  public List<OrderDecision> stateRead(String endpoint, long attempt, EngineState state, long now) {
    EndpointReconciler reconciler = endpoints.get(endpoint);
    if (reconciler == null) {
      return List.of();
    }
    EngineOrder order = reconciler.stateRead(attempt, state, isLoadGranted(endpoint), now);
    if (order == null) {
      return List.of();
    }
    if (!ownLease.hasMinRemaining(now) || !desiredPlacements.containsKey(endpoint)) {
      reconciler.orderDropped(now);
      return List.of();
    }
    check(endpoint, order, now);
    reconciler.orderSent(order, now);
    ordersSent++;
    return List.of(new OrderDecision.SendOrder(endpoint, attempt, order));
  }

  private void check(String endpoint, EngineOrder order, long now) {
    boolean isHeld = heldLeases().contains(new HeldLease(endpoint, order.fence()));
    boolean hasMinRemaining = ownLease.remaining(now) >= settings.minRemainingLease();
    invariants.check(
        ORDER_WITH_LEASE,
        isHeld && hasMinRemaining,
        () -> endpoint + " held=" + isHeld + " remaining=" + ownLease.remaining(now));
    long sent = sentFences.getOrDefault(endpoint, -1L);
    invariants.check(
        FENCE_NEVER_DECREASES,
        order.fence() >= sent,
        () -> endpoint + " fence=" + order.fence() + " after " + sent);
    sentFences.put(endpoint, order.fence());
  }

  /** Handles a failure to read an engine's state. */
  public void readFailed(String endpoint, long attempt, long now) {
    EndpointReconciler reconciler = endpoints.get(endpoint);
    if (reconciler != null) {
      reconciler.readFailed(attempt, now);
    }
  }

  /**
   * Handles the result of an order.
   *
   * @param isAccepted whether the engine accepted the order; false if it was refused, failed or the
   *     result is unknown
   */
  public void orderEnded(String endpoint, long attempt, boolean isAccepted, long now) {
    EndpointReconciler reconciler = endpoints.get(endpoint);
    if (reconciler != null) {
      reconciler.orderEnded(attempt, isAccepted, now);
    }
  }

  /**
   * Returns whether an endpoint may load now. A load request whose end was sent is not used again,
   * because the end may take effect at any time.
   */
  private boolean isLoadGranted(String endpoint) {
    Long requestedAt = stream.table().loads().get(endpoint);
    return requestedAt != null
        && !requestedAt.equals(endedLoads.get(endpoint))
        && stream.table().isLoadGranted(endpoint, settings.maxConcurrentLoads());
  }

  private void append(long now, List<OrderDecision> decisions) {
    if (!stream.isStateKnown()) {
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
    if (isRenewal && !(holdsAny && ownLease.isRenewalDue(now))) {
      return;
    }
    decisions.add(new OrderDecision.Append(ownLease.nextRecord(builder, now)));
  }

  private void appendSnapshot(LeaseSnapshot snapshot, long now, List<OrderDecision> decisions) {
    ownLease.deferAppends(now);
    stream.snapshotSent(now);
    decisions.add(new OrderDecision.AppendSnapshot(snapshot));
  }

  private void addLeases(LeaseRecord.Builder builder, long now) {
    List<String> takes = new ArrayList<>();
    Set<String> expired = new TreeSet<>();
    if (stream.isPastReset(now, settings.takeoverWait())) {
      for (String endpoint : desiredPlacements.keySet()) {
        String holder = stream.table().lease(endpoint).map(LeaseTable.Lease::session).orElse(null);
        if (holder == null) {
          takes.add(endpoint);
        } else if (isExpired(holder, now)) {
          expired.add(holder);
          takes.add(endpoint);
        }
      }
    }
    builder
        .takes(takes)
        .ends(expired.stream().map(this::endOf).toList())
        .releases(leasesToRelease(now));
  }

  private boolean isExpired(@Nullable String holder, long now) {
    return holder != null
        && !holder.equals(session)
        && stream.isExpired(holder, now, settings.takeoverWait());
  }

  private SessionEnd endOf(String expired) {
    return new SessionEnd(expired, stream.table().lastOffset(expired).orElse(-1L));
  }

  /**
   * Returns the leases to release. Once sent, a release may take effect at any time; therefore no
   * further orders are sent under that lease, and the release is repeated until it takes effect.
   */
  private List<HeldLease> leasesToRelease(long now) {
    List<HeldLease> released =
        heldLeases().stream()
            .filter(lease -> isReleased(lease) || isReleaseDue(lease, now))
            .toList();
    released.forEach(lease -> releasedFences.put(lease.endpoint(), lease.fence()));
    syncEndpoints(now);
    return released;
  }

  private boolean isReleased(HeldLease lease) {
    return releasedFences.getOrDefault(lease.endpoint(), -1L) == lease.fence();
  }

  private boolean isReleaseDue(HeldLease lease, long now) {
    return !desiredPlacements.containsKey(lease.endpoint()) && isSettled(lease.endpoint(), now);
  }

  private boolean isSettled(String endpoint, long now) {
    EndpointReconciler reconciler = endpoints.get(endpoint);
    return reconciler == null || reconciler.isSettled(now);
  }

  private void addLoads(LeaseRecord.Builder builder) {
    Map<String, Long> loads = stream.table().loads();
    List<String> requests = new ArrayList<>();
    List<LoadEnd> ends = new ArrayList<>();
    endpoints.forEach(
        (name, reconciler) -> {
          Long requestedAt = loads.get(name);
          if (reconciler.needsLoad() && requestedAt == null) {
            requests.add(name);
          } else if (requestedAt != null && isLoadEndDue(name, reconciler, requestedAt)) {
            ends.add(new LoadEnd(name, requestedAt));
            endedLoads.put(name, requestedAt);
          }
        });
    loads.forEach(
        (name, requestedAt) -> {
          if (stream.table().lease(name).isEmpty() && !configuredEndpoints.contains(name)) {
            ends.add(new LoadEnd(name, requestedAt));
          }
        });
    builder.loadRequests(requests).loadEnds(ends);
  }

  private boolean isLoadEndDue(String name, EndpointReconciler reconciler, long requestedAt) {
    return reconciler.isLoadFinished() || Long.valueOf(requestedAt).equals(endedLoads.get(name));
  }
}
