package io.samphiredyke.daemon.entry;

import io.netty.util.concurrent.Future;
import io.samphiredyke.core.broker.BrokerStatus;
import io.samphiredyke.core.broker.Release;
import io.samphiredyke.core.broker.SlotRefusal;
import io.samphiredyke.core.broker.SlotRequest;
import io.samphiredyke.core.broker.SlotRequestKey;
import io.samphiredyke.core.config.Configuration;
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

/** Claims a place at the brokers of the endpoints that may serve one request. */
final class SlotAcquisition {

  /** Learns what came of the claims. */
  interface Listener {

    /** A broker granted the request a place at an endpoint. */
    void onGranted(String endpoint);

    /** No endpoint takes the request. */
    void onShed(SlotRequestAction.Shed shed);

    /** No endpoint may serve the request at present. */
    void onNoEndpoint();
  }

  private static final Duration TIMEOUT = Duration.ofMillis(400);
  private static final Duration RECLAIM_DELAY = Duration.ofMillis(100);
  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(2);
  private static final int DELIVERY_ATTEMPTS = 3;
  private static final int PARALLEL_CLAIMS = 2;

  private final EntryContext context;
  private final RequestIdentity request;
  private final RequestEstimate estimate;
  private final PromptFingerprint fingerprint;
  private final long receivedAt;
  private final long deadline;
  private final SessionHistory history;
  private final Listener listener;
  private @Nullable SlotRequestSet claims;
  private @Nullable SlotRequest bound;
  private @Nullable Member boundBroker;
  private @Nullable Future<?> refresh;
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

  void start() {
    List<String> candidates = candidates();
    if (candidates.isEmpty()) {
      listener.onNoEndpoint();
      return;
    }
    List<EndpointOption> options =
        context.learned().choice().rank(candidates, estimate, fingerprint);
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
    SlotRequestSet started = new SlotRequestSet(template, options, PARALLEL_CLAIMS);
    claims = started;
    isPrefilling = true;
    Future<?> old = refresh;
    if (old != null) {
      old.cancel(false);
    }
    refresh = context.loop().scheduleWithFixedDelay(this::refreshClaims, REFRESH_INTERVAL);
    carryOut(started, started.start(context.loop().nanoTime()));
  }

  private List<String> candidates() {
    Configuration configuration = context.configuration().get();
    long now = context.loop().nanoTime();
    List<Endpoint> serving =
        configuration.endpointsFor(request.service().name()).stream()
            .filter(endpoint -> !context.isLeaving().test(endpoint))
            .toList();
    List<String> healthy =
        serving.stream()
            .map(Endpoint::name)
            .filter(name -> context.learned().circuit(name).tryAcquire(now))
            .toList();
    return healthy.isEmpty() ? serving.stream().map(Endpoint::name).toList() : healthy;
  }

  private void carryOut(SlotRequestSet set, List<SlotRequestAction> actions) {
    for (SlotRequestAction action : actions) {
      if (action instanceof SlotRequestAction.Send send) {
        send(set, send.request());
      } else if (action instanceof SlotRequestAction.Withdraw withdraw) {
        withdraw(withdraw.endpoint(), withdraw.key());
      } else if (action instanceof SlotRequestAction.Dispatch bind) {
        bind(set, bind.request());
      } else if (action instanceof SlotRequestAction.Shed shed) {
        end(set);
        listener.onShed(shed);
      }
    }
  }

  private void bind(SlotRequestSet set, SlotRequest claim) {
    end(set);
    bound = claim;
    boundBroker = broker(claim.endpoint()).orElse(null);
    listener.onGranted(claim.endpoint());
  }

  private void end(SlotRequestSet set) {
    nextAttempt = set.nextAttempt();
    Future<?> timer = refresh;
    if (timer != null) {
      timer.cancel(false);
      refresh = null;
    }
  }

  private void send(SlotRequestSet set, SlotRequest claim) {
    Optional<Member> broker = broker(claim.endpoint());
    if (broker.isEmpty()) {
      reclaimLater(set, claim.endpoint());
      return;
    }
    context
        .peers()
        .request(
            broker.get().address(),
            broker.get().incarnation().toString(),
            SlotMessages.toMessage(claim, context.loop().nanoTime()),
            TIMEOUT,
            reply -> onReply(set, claim, reply),
            failure -> reclaimLater(set, claim.endpoint()));
  }

  private void onReply(SlotRequestSet set, SlotRequest claim, PeerMessage reply) {
    if (reply instanceof Grant grant) {
      onGrant(set, grant);
    } else if (reply instanceof Refusal refusal) {
      onRefusal(set, claim, refusal);
    } else if (!(reply instanceof Acknowledgement)) {
      reclaimLater(set, claim.endpoint());
    }
  }

  private void reclaimLater(SlotRequestSet set, String endpoint) {
    context
        .loop()
        .schedule(
            () -> {
              if (set.isOpen()) {
                carryOut(set, set.brokerChanged(endpoint, context.loop().nanoTime()));
              }
            },
            RECLAIM_DELAY);
  }

  /** Takes a grant that a broker sent later than the claim's reply. */
  void onGrant(Grant grant) {
    SlotRequestSet current = claims;
    if (current == null) {
      withdraw(grant.endpoint(), new SlotRequestKey(grant.requestId(), grant.attempt()));
      return;
    }
    onGrant(current, grant);
  }

  private void onGrant(SlotRequestSet set, Grant grant) {
    BrokerStatus hint = SlotMessages.hint(grant);
    context.learned().choice().updateStatus(hint);
    SlotRequestKey key = new SlotRequestKey(grant.requestId(), grant.attempt());
    SlotRequest held = bound;
    if (held != null && held.key().equals(key)) {
      return;
    }
    carryOut(set, set.granted(grant.endpoint(), key, context.loop().nanoTime()));
  }

  /** Takes a refusal that a broker sent later than the claim's reply. */
  void onRefusal(Refusal refusal) {
    SlotRequestSet current = claims;
    if (current == null) {
      return;
    }
    SlotRequestKey key = new SlotRequestKey(refusal.requestId(), refusal.attempt());
    for (SlotRequest claim : current.outstanding()) {
      if (claim.key().equals(key)) {
        onRefusal(current, claim, refusal);
        return;
      }
    }
  }

  private void onRefusal(SlotRequestSet set, SlotRequest claim, Refusal refusal) {
    context.learned().choice().updateStatus(SlotMessages.hint(refusal));
    long retryAfter = TimeUnit.MICROSECONDS.toNanos(refusal.retryAfterMicros());
    history.add("Refused", claim.endpoint() + " " + refusal.reason());
    SlotRefusal refuse = new SlotRefusal(claim, SlotMessages.reason(refusal), retryAfter);
    carryOut(set, set.refused(refuse, context.loop().nanoTime()));
  }

  /** Sends the open claims again, in case that a broker was replaced or lost them. */
  private void refreshClaims() {
    SlotRequestSet current = claims;
    if (current != null && current.isOpen()) {
      current.outstanding().forEach(claim -> send(current, claim));
    }
  }

  /** Withdraws all claims. */
  void close() {
    SlotRequestSet current = claims;
    if (current != null) {
      carryOut(current, current.close());
      end(current);
    }
  }

  /** Gives the place back. */
  void release(Release.Outcome outcome, long firstTokenNanos, long intervalNanos, int tokens) {
    SlotRequest held = bound;
    if (held == null) {
      return;
    }
    bound = null;
    Release release = new Release(held.key(), outcome, firstTokenNanos, intervalNanos, tokens);
    deliver(held.endpoint(), SlotMessages.toMessage(held.endpoint(), release));
  }

  /** Tells the broker that the prefill is over. */
  void firstToken(long nanos) {
    SlotRequest held = bound;
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
    deliver(held.endpoint(), message);
  }

  /** Tells a new broker about the place that is held, if the broker changed. */
  void membersChanged() {
    SlotRequest held = bound;
    if (held == null) {
      return;
    }
    Member now = broker(held.endpoint()).orElse(null);
    Member before = boundBroker;
    boolean same = now != null && before != null && now.incarnation().equals(before.incarnation());
    if (same || now == null) {
      return;
    }
    boundBroker = now;
    deliver(held.endpoint(), SlotMessages.toAdopt(held, isPrefilling, context.loop().nanoTime()));
  }

  private void withdraw(String endpoint, SlotRequestKey key) {
    Withdraw message =
        Withdraw.builder()
            .requestId(key.requestId())
            .attempt(key.attempt())
            .endpoint(endpoint)
            .build();
    deliver(endpoint, message);
  }

  private void deliver(String endpoint, PeerMessage message) {
    broker(endpoint)
        .ifPresent(
            member ->
                context
                    .peers()
                    .deliver(
                        member.address(),
                        member.incarnation().toString(),
                        message,
                        TIMEOUT,
                        DELIVERY_ATTEMPTS));
  }

  private Optional<Member> broker(String endpoint) {
    return context.configuration().get().endpoint(endpoint).flatMap(context.membership()::broker);
  }
}
