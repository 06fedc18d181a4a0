package io.samphiredyke.core.routing;

import io.samphiredyke.core.broker.RefusalReason;
import io.samphiredyke.core.broker.SlotRefusal;
import io.samphiredyke.core.broker.SlotRequest;
import io.samphiredyke.core.broker.SlotRequestKey;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The claims of one request at the brokers of the endpoints that may serve it.
 *
 * <p>The first grant binds the request; all other claims are withdrawn and later grants are given
 * back. The request is shed only when the brokers of all endpoints that may serve it have refused.
 * Each claim has its own attempt number.
 */
public final class SlotRequestSet {

  private enum State {
    OPEN,
    BOUND,
    CLOSED
  }

  private final SlotRequest template;
  private final Deque<EndpointOption> unclaimed;
  private final int parallelClaims;
  private final Map<SlotRequestKey, SlotRequest> outstanding = new LinkedHashMap<>();
  private final List<RefusalReason> refusals = new ArrayList<>();
  private State state = State.OPEN;
  private int nextAttempt;
  private long retryAfterNanos = Long.MAX_VALUE;

  /**
   * Creates a set without claims.
   *
   * @param template the claim without endpoint, attempt, cached tokens and hold-off; its attempt is
   *     the first that is used
   * @param options endpoints that may serve the request, in order of preference
   * @param parallelClaims claims that may be outstanding at once
   */
  public SlotRequestSet(SlotRequest template, List<EndpointOption> options, int parallelClaims) {
    this.template = template;
    this.unclaimed = new ArrayDeque<>(options);
    this.parallelClaims = parallelClaims;
    nextAttempt = template.attempt();
  }

  /** Returns whether the request waits for a grant. */
  public boolean isOpen() {
    return state == State.OPEN;
  }

  /** Returns the claims that were neither refused nor withdrawn, the bound one included. */
  public List<SlotRequest> outstanding() {
    return List.copyOf(outstanding.values());
  }

  /** Returns the next unused attempt number. */
  public int nextAttempt() {
    return nextAttempt;
  }

  /** Sends the first claims. */
  public List<SlotRequestAction> start(long now) {
    List<SlotRequestAction> actions = new ArrayList<>();
    sendMore(now, actions);
    return actions;
  }

  /** Binds the request if this is the first grant, else gives the grant back. */
  public List<SlotRequestAction> granted(String endpoint, SlotRequestKey key, long now) {
    List<SlotRequestAction> actions = new ArrayList<>();
    SlotRequest claim = outstanding.get(key);
    if (state == State.BOUND && claim != null) {
      return actions;
    }
    if (state != State.OPEN || claim == null) {
      actions.add(new SlotRequestAction.Withdraw(endpoint, key));
      return actions;
    }
    state = State.BOUND;
    actions.add(new SlotRequestAction.Dispatch(claim));
    outstanding.remove(key);
    withdrawAll(actions);
    outstanding.put(key, claim);
    return actions;
  }

  /** Tries the next endpoint, or sheds the request when all have refused. */
  public List<SlotRequestAction> refused(SlotRefusal refuse, long now) {
    List<SlotRequestAction> actions = new ArrayList<>();
    if (outstanding.remove(refuse.request().key()) == null || state != State.OPEN) {
      return actions;
    }
    refusals.add(refuse.reason());
    if (refuse.retryAfterNanos() > 0) {
      retryAfterNanos = Math.min(retryAfterNanos, refuse.retryAfterNanos());
    }
    sendMore(now, actions);
    return actions;
  }

  /** Claims again at the endpoint because its broker was lost or changed. */
  public List<SlotRequestAction> brokerChanged(String endpoint, long now) {
    List<SlotRequestAction> actions = new ArrayList<>();
    if (state != State.OPEN) {
      return actions;
    }
    for (SlotRequest claim : List.copyOf(outstanding.values())) {
      if (!claim.endpoint().equals(endpoint)) {
        continue;
      }
      outstanding.remove(claim.key());
      send(claim.toBuilder(), actions);
    }
    return actions;
  }

  /** Withdraws all claims because the caller left or the deadline passed. */
  public List<SlotRequestAction> close() {
    List<SlotRequestAction> actions = new ArrayList<>();
    if (state == State.OPEN) {
      withdrawAll(actions);
    }
    state = State.CLOSED;
    return actions;
  }

  private void sendMore(long now, List<SlotRequestAction> actions) {
    while (outstanding.size() < parallelClaims && !unclaimed.isEmpty()) {
      EndpointOption option = unclaimed.removeFirst();
      SlotRequest.Builder claim =
          template.toBuilder()
              .endpoint(option.endpoint())
              .cachedTokens(option.cachedTokens())
              .grantNotBefore(now + option.holdOffNanos());
      send(claim, actions);
    }
    if (!outstanding.isEmpty()) {
      return;
    }
    state = State.CLOSED;
    long retryAfter = retryAfterNanos == Long.MAX_VALUE ? 0 : retryAfterNanos;
    actions.add(new SlotRequestAction.Shed(refusals, retryAfter));
  }

  private void send(SlotRequest.Builder builder, List<SlotRequestAction> actions) {
    SlotRequest claim = builder.attempt(nextAttempt++).build();
    outstanding.put(claim.key(), claim);
    actions.add(new SlotRequestAction.Send(claim));
  }

  private void withdrawAll(List<SlotRequestAction> actions) {
    for (SlotRequest claim : outstanding.values()) {
      actions.add(new SlotRequestAction.Withdraw(claim.endpoint(), claim.key()));
    }
    outstanding.clear();
  }
}
