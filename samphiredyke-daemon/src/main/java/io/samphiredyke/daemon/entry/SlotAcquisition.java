package io.samphiredyke.daemon.entry;

import io.netty.util.concurrent.Future;
import io.samphiredyke.core.broker.BrokerStatus;
import io.samphiredyke.core.broker.Release;
import io.samphiredyke.core.broker.SlotRefusal;
import io.samphiredyke.core.broker.SlotRequest;
import io.samphiredyke.core.broker.SlotRequestKey;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.routing.EndpointOption;
import io.samphiredyke.core.routing.PromptFingerprint;
import io.samphiredyke.core.routing.RequestEstimate;
import io.samphiredyke.core.routing.SlotRequestAction;
import io.samphiredyke.core.routing.SlotRequestSet;
import io.samphiredyke.daemon.peer.SlotMessages;
import io.samphiredyke.schema.message.Acknowledgement;
import io.samphiredyke.schema.message.FirstToken;
import io.samphiredyke.schema.message.Grant;
import io.samphiredyke.schema.message.PeerMessage;
import io.samphiredyke.schema.message.Refusal;
import io.samphiredyke.schema.message.Withdraw;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Acquires a slot for one request from the brokers of the endpoints that may serve it, holds the
 * slot and releases it.
 */
final class SlotAcquisition {

  /** Receives the result of the slot requests. */
  interface Listener {

    /** A broker granted the request a slot at an endpoint. */
    void onGranted(String endpoint);

    /** All endpoints refused the request. */
    void onShed(SlotRequestAction.Shed shed);

    /** No endpoint is currently configured and accepting work for the request's service. */
    void onNoEndpoint();

    /** This entry has failed to reach each of the endpoints that may serve the request. */
    void onNoPath();
  }

  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(400);
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration RESEND_INTERVAL = Duration.ofSeconds(2);
  private static final int DELIVERY_ATTEMPTS = 3;
  private static final int PARALLEL_REQUESTS = 2;

  private final EntryContext context;
  private final RequestIdentity request;
  private final RequestEstimate estimate;
  private final PromptFingerprint fingerprint;
  private final long receivedAt;
  private final long deadline;
  private final SessionHistory history;
  private final Listener listener;
  private @Nullable SlotRequestSet pending;
  private @Nullable SlotRequest heldSlot;
  private @Nullable Member grantingBroker;
  private @Nullable Future<?> resendTimer;
  private boolean isPrefilling = true;
  private int nextAttempt;

  SlotAcquisition(
      EntryContext context,
      RequestIdentity request,
      RequestEstimate estimate,
      PromptFingerprint fingerprint,
      long receivedAt,
      long deadline,
      SessionHistory history,
      Listener listener) {
    this.context = context;
    this.request = request;
    this.estimate = estimate;
    this.fingerprint = fingerprint;
    this.receivedAt = receivedAt;
    this.deadline = deadline;
    this.history = history;
    this.listener = listener;
  }

  /** Requests slots at the best endpoints; may be called again after an earlier attempt ended. */
  void start() {
    List<String> serving = serving();
    if (serving.isEmpty()) {
      listener.onNoEndpoint();
      return;
    }
    List<String> candidates = candidates(serving);
    if (candidates.isEmpty()) {
      listener.onNoPath();
      return;
    }
    List<EndpointOption> options =
        context.routing().ranking().rank(candidates, estimate, fingerprint);
    history.add("Candidates", options.toString());
    SlotRequest template =
        SlotRequest.builder()
            .requestId(request.idText())
            .attempt(nextAttempt)
            .requester(context.host().incarnation().toString())
            .service(request.service().name())
            .customer(request.customer().name())
            .tierRank(request.tierRank())
            .customerWeight(request.customer().weight())
            .deadline(deadline)
            .promptTokens(estimate.promptTokens())
            .outputTokens(estimate.outputTokens())
            .receivedAt(receivedAt)
            .build();
    SlotRequestSet started = new SlotRequestSet(template, options, PARALLEL_REQUESTS);
    pending = started;
    isPrefilling = true;
    Future<?> previous = resendTimer;
    if (previous != null) {
      previous.cancel(false);
    }
    resendTimer = context.loop().scheduleWithFixedDelay(this::resendPending, RESEND_INTERVAL);
    execute(started, started.start(context.loop().nanoTime()));
  }

  /** Returns the endpoints of the service that accept new work. */
  private List<String> serving() {
    return context.configuration().get().endpointsFor(request.service().name()).stream()
        .filter(endpoint -> !context.isDraining().test(endpoint))
        .map(Endpoint::name)
        .toList();
  }

  /**
   * Returns the endpoints whose circuit breaker admits a request. If there are none, returns all
   * endpoints; if none of them is reached, only from time to time.
   */
  private List<String> candidates(List<String> serving) {
    RoutingState routing = context.routing();
    long now = context.loop().nanoTime();
    List<String> healthy =
        serving.stream().filter(name -> routing.circuitBreaker(name).tryAcquire(now)).toList();
    if (!healthy.isEmpty()) {
      return healthy;
    }
    return routing.tryProbe(request.service().name(), serving, now) ? serving : List.of();
  }

  private void execute(SlotRequestSet set, List<SlotRequestAction> actions) {
    for (SlotRequestAction action : actions) {
      if (action instanceof SlotRequestAction.Send send) {
        send(set, send.request());
      } else if (action instanceof SlotRequestAction.Withdraw withdraw) {
        withdraw(withdraw.endpoint(), withdraw.key());
      } else if (action instanceof SlotRequestAction.Dispatch dispatch) {
        holdSlot(set, dispatch.request());
      } else if (action instanceof SlotRequestAction.Shed shed) {
        stopResending(set);
        listener.onShed(shed);
      }
    }
  }

  private void holdSlot(SlotRequestSet set, SlotRequest slotRequest) {
    stopResending(set);
    heldSlot = slotRequest;
    grantingBroker = findBroker(slotRequest.endpoint()).orElse(null);
    listener.onGranted(slotRequest.endpoint());
  }

  /** Stops resending the slot requests and keeps the next unused attempt number. */
  private void stopResending(SlotRequestSet set) {
    nextAttempt = set.nextAttempt();
    Future<?> timer = resendTimer;
    if (timer != null) {
      timer.cancel(false);
      resendTimer = null;
    }
  }

  private void send(SlotRequestSet set, SlotRequest slotRequest) {
    Optional<Member> broker = findBroker(slotRequest.endpoint());
    if (broker.isEmpty()) {
      scheduleRetry(set, slotRequest.endpoint());
      return;
    }
    context
        .peers()
        .request(
            broker.get().address(),
            broker.get().incarnation().toString(),
            SlotMessages.toMessage(slotRequest, context.loop().nanoTime()),
            REQUEST_TIMEOUT,
            reply -> onReply(set, slotRequest, reply),
            failure -> scheduleRetry(set, slotRequest.endpoint()));
  }

  private void onReply(SlotRequestSet set, SlotRequest slotRequest, PeerMessage reply) {
    if (reply instanceof Grant grant) {
      onGrant(set, grant);
    } else if (reply instanceof Refusal refusal) {
      onRefusal(set, slotRequest, refusal);
    } else if (!(reply instanceof Acknowledgement)) {
      scheduleRetry(set, slotRequest.endpoint());
    }
  }

  private void scheduleRetry(SlotRequestSet set, String endpoint) {
    context
        .loop()
        .schedule(
            () -> {
              if (set.isOpen()) {
                execute(set, set.brokerChanged(endpoint, context.loop().nanoTime()));
              }
            },
            RETRY_DELAY);
  }

  /** Handles a grant that a broker sent after it had queued the request. */
  void onGrant(Grant grant) {
    SlotRequestSet current = pending;
    if (current == null) {
      withdraw(grant.endpoint(), new SlotRequestKey(grant.requestId(), grant.attempt()));
      return;
    }
    onGrant(current, grant);
  }

  private void onGrant(SlotRequestSet set, Grant grant) {
    BrokerStatus status = SlotMessages.status(grant);
    context.routing().ranking().updateStatus(status);
    SlotRequestKey key = new SlotRequestKey(grant.requestId(), grant.attempt());
    SlotRequest held = heldSlot;
    if (held != null && held.key().equals(key)) {
      return;
    }
    execute(set, set.granted(grant.endpoint(), key, context.loop().nanoTime()));
  }

  /** Handles a refusal that a broker sent after it had queued the request. */
  void onRefusal(Refusal refusal) {
    SlotRequestSet current = pending;
    if (current == null) {
      return;
    }
    SlotRequestKey key = new SlotRequestKey(refusal.requestId(), refusal.attempt());
    for (SlotRequest slotRequest : current.outstanding()) {
      if (slotRequest.key().equals(key)) {
        onRefusal(current, slotRequest, refusal);
        return;
      }
    }
  }

  private void onRefusal(SlotRequestSet set, SlotRequest slotRequest, Refusal refusal) {
    context.routing().ranking().updateStatus(SlotMessages.status(refusal));
    long retryAfter = TimeUnit.MICROSECONDS.toNanos(refusal.retryAfterMicros());
    history.add("Refused", slotRequest.endpoint() + " " + refusal.reason());
    SlotRefusal slotRefusal =
        new SlotRefusal(slotRequest, SlotMessages.reason(refusal), retryAfter);
    execute(set, set.refused(slotRefusal, context.loop().nanoTime()));
  }

  /** Sends the pending slot requests again, in case a broker was replaced or lost them. */
  private void resendPending() {
    SlotRequestSet current = pending;
    if (current != null && current.isOpen()) {
      current.outstanding().forEach(slotRequest -> send(current, slotRequest));
    }
  }

  /** Withdraws all pending slot requests. */
  void withdrawAll() {
    SlotRequestSet current = pending;
    if (current != null) {
      execute(current, current.close());
      stopResending(current);
    }
  }

  /** Releases the slot and reports the measured latencies to the broker. */
  void release(Release.Outcome outcome, long firstTokenNanos, long intervalNanos, int tokens) {
    SlotRequest held = heldSlot;
    if (held == null) {
      return;
    }
    heldSlot = null;
    Release release = new Release(held.key(), outcome, firstTokenNanos, intervalNanos, tokens);
    sendToBroker(held.endpoint(), SlotMessages.toMessage(held.endpoint(), release));
  }

  /** Reports to the broker that the prefill has ended. */
  void onFirstToken(long nanos) {
    SlotRequest held = heldSlot;
    isPrefilling = false;
    if (held == null) {
      return;
    }
    FirstToken message =
        FirstToken.builder()
            .requestId(held.requestId())
            .attempt(held.attempt())
            .endpoint(held.endpoint())
            .firstTokenMicros(TimeUnit.NANOSECONDS.toMicros(nanos))
            .build();
    sendToBroker(held.endpoint(), message);
  }

  /** Announces the held slot to the new broker of the endpoint, if the broker has changed. */
  void onMembershipChanged() {
    SlotRequest held = heldSlot;
    if (held == null) {
      return;
    }
    Member current = findBroker(held.endpoint()).orElse(null);
    Member previous = grantingBroker;
    boolean isUnchanged =
        current != null && previous != null && current.incarnation().equals(previous.incarnation());
    if (isUnchanged || current == null) {
      return;
    }
    grantingBroker = current;
    sendToBroker(
        held.endpoint(), SlotMessages.toAdopt(held, isPrefilling, context.loop().nanoTime()));
  }

  private void withdraw(String endpoint, SlotRequestKey key) {
    Withdraw message =
        Withdraw.builder()
            .requestId(key.requestId())
            .attempt(key.attempt())
            .endpoint(endpoint)
            .build();
    sendToBroker(endpoint, message);
  }

  private void sendToBroker(String endpoint, PeerMessage message) {
    findBroker(endpoint)
        .ifPresent(
            member ->
                context
                    .peers()
                    .requestWithRetries(
                        member.address(),
                        member.incarnation().toString(),
                        message,
                        REQUEST_TIMEOUT,
                        DELIVERY_ATTEMPTS));
  }

  private Optional<Member> findBroker(String endpoint) {
    return context.configuration().get().endpoint(endpoint).flatMap(context.membership()::broker);
  }
}
