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
 * The slot requests of one caller's request, at the brokers of the endpoints that may serve it.
 *
 * <p>On the first grant the caller's request is dispatched; all other slot requests are withdrawn
 * and later grants are released. The caller's request is shed only when the brokers of all these
 * endpoints have refused it. Each slot request has its own attempt number.
 */
public final class SlotRequestSet {

  private enum State {
    OPEN,
    DISPATCHED,
    CLOSED
  }

  private final SlotRequest template;
  private final Deque<EndpointOption> untriedOptions;
  private final int maxOutstanding;
  private final Map<SlotRequestKey, SlotRequest> outstanding = new LinkedHashMap<>();
  private final List<RefusalReason> refusals = new ArrayList<>();
  private State state = State.OPEN;
  private int nextAttempt;
  private long retryAfterNanos = Long.MAX_VALUE;

  /**
   * Creates a set without slot requests.
   *
   * @param template slot request without endpoint, cached tokens and hold-off; its attempt number
   *     is the first to be used
   * @param options endpoints that may serve the request, in order of preference
   * @param maxOutstanding largest number of slot requests that are outstanding at once
   */
  public SlotRequestSet(SlotRequest template, List<EndpointOption> options, int maxOutstanding) {
    this.template = template;
    this.untriedOptions = new ArrayDeque<>(options);
    this.maxOutstanding = maxOutstanding;
    nextAttempt = template.attempt();
  }

  /** Returns whether the caller's request is waiting for a grant. */
  public boolean isOpen() {
    return state == State.OPEN;
  }

  /**
   * Returns the slot requests that were neither refused nor withdrawn, the granted one included.
   */
  public List<SlotRequest> outstanding() {
    return List.copyOf(outstanding.values());
  }

  /** Returns the next unused attempt number. */
  public int nextAttempt() {
    return nextAttempt;
  }

  /** Sends the first slot requests. */
  public List<SlotRequestAction> start(long now) {
    List<SlotRequestAction> actions = new ArrayList<>();
    sendNextRequests(now, actions);
    return actions;
  }

  /** Dispatches the caller's request if this is the first grant, else releases the grant. */
  public List<SlotRequestAction> granted(String endpoint, SlotRequestKey key, long now) {
    List<SlotRequestAction> actions = new ArrayList<>();
    SlotRequest request = outstanding.get(key);
    if (state == State.DISPATCHED && request != null) {
      return actions;
    }
    if (state != State.OPEN || request == null) {
      actions.add(new SlotRequestAction.Withdraw(endpoint, key));
      return actions;
    }
    state = State.DISPATCHED;
    actions.add(new SlotRequestAction.Dispatch(request));
    outstanding.remove(key);
    withdrawAll(actions);
    outstanding.put(key, request);
    return actions;
  }

  /** Tries the next endpoint, or sheds the caller's request when all have refused. */
  public List<SlotRequestAction> refused(SlotRefusal refusal, long now) {
    List<SlotRequestAction> actions = new ArrayList<>();
    if (outstanding.remove(refusal.request().key()) == null || state != State.OPEN) {
      return actions;
    }
    refusals.add(refusal.reason());
    if (refusal.retryAfterNanos() > 0) {
      retryAfterNanos = Math.min(retryAfterNanos, refusal.retryAfterNanos());
    }
    sendNextRequests(now, actions);
    return actions;
  }

  /** Requests a slot of the endpoint again, because its broker failed or was replaced. */
  public List<SlotRequestAction> brokerChanged(String endpoint, long now) {
    List<SlotRequestAction> actions = new ArrayList<>();
    if (state != State.OPEN) {
      return actions;
    }
    for (SlotRequest request : List.copyOf(outstanding.values())) {
      if (!request.endpoint().equals(endpoint)) {
        continue;
      }
      outstanding.remove(request.key());
      send(request.toBuilder(), actions);
    }
    return actions;
  }

  /** Withdraws all slot requests, because the caller disconnected or the deadline passed. */
  public List<SlotRequestAction> close() {
    List<SlotRequestAction> actions = new ArrayList<>();
    if (state == State.OPEN) {
      withdrawAll(actions);
    }
    state = State.CLOSED;
    return actions;
  }

  private void sendNextRequests(long now, List<SlotRequestAction> actions) {
    while (outstanding.size() < maxOutstanding && !untriedOptions.isEmpty()) {
      EndpointOption option = untriedOptions.removeFirst();
      SlotRequest.Builder request =
          template.toBuilder()
              .endpoint(option.endpoint())
              .cachedTokens(option.cachedTokens())
              .grantNotBefore(now + option.holdOffNanos());
      send(request, actions);
    }
    if (!outstanding.isEmpty()) {
      return;
    }
    state = State.CLOSED;
    long retryAfter = retryAfterNanos == Long.MAX_VALUE ? 0 : retryAfterNanos;
    actions.add(new SlotRequestAction.Shed(refusals, retryAfter));
  }

  private void send(SlotRequest.Builder builder, List<SlotRequestAction> actions) {
    SlotRequest request = builder.attempt(nextAttempt++).build();
    outstanding.put(request.key(), request);
    actions.add(new SlotRequestAction.Send(request));
  }

  private void withdrawAll(List<SlotRequestAction> actions) {
    for (SlotRequest request : outstanding.values()) {
      actions.add(new SlotRequestAction.Withdraw(request.endpoint(), request.key()));
    }
    outstanding.clear();
  }
}
