package io.samphiredyke.daemon.entry;

import io.netty.util.concurrent.Future;
import io.samphiredyke.core.broker.BrokerStatus;
import io.samphiredyke.core.broker.Claim;
import io.samphiredyke.core.broker.ClaimKey;
import io.samphiredyke.core.broker.Refuse;
import io.samphiredyke.core.broker.Release;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.routing.ClaimAction;
import io.samphiredyke.core.routing.ClaimSet;
import io.samphiredyke.core.routing.EndpointOption;
import io.samphiredyke.core.routing.PromptFingerprint;
import io.samphiredyke.core.routing.RequestEstimate;
import io.samphiredyke.daemon.peer.ClaimMessages;
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
final class ClaimDriver {

  /** Learns what came of the claims. */
  interface Listener {

    /** A broker granted the request a place at an endpoint. */
    void onGranted(String endpoint);

    /** No endpoint takes the request. */
    void onShed(ClaimAction.Shed shed);

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
  private @Nullable ClaimSet claims;
  private @Nullable Claim bound;
  private @Nullable Member boundBroker;
  private @Nullable Future<?> refresh;
  private boolean isPrefilling = true;
  private int nextAttempt;

  ClaimDriver(
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
        context.learned().choice().choose(candidates, estimate, fingerprint);
    history.add("Candidates", options.toString());
    Claim template =
        Claim.builder()
            .requestId(request.idText())
            .attempt(nextAttempt)
            .entry(context.host().incarnation().toString())
            .service(request.service().name())
            .customer(request.customer().name())
            .tierRank(request.tierRank())
            .customerWeight(request.customer().weight())
            .deadline(deadline)
            .promptTokens(estimate.promptTokens())
            .outputTokens(estimate.outputTokens())
            .receivedAt(receivedAt)
            .build();
    ClaimSet started = new ClaimSet(template, options, PARALLEL_CLAIMS);
    claims = started;
    isPrefilling = true;
    Future<?> old = refresh;
    if (old != null) {
      old.cancel(false);
    }
    refresh = context.loop().repeat(this::refreshClaims, REFRESH_INTERVAL);
    carryOut(started, started.start(context.loop().now()));
  }

  private List<String> candidates() {
    Configuration configuration = context.configuration().get();
    long now = context.loop().now();
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

  private void carryOut(ClaimSet set, List<ClaimAction> actions) {
    for (ClaimAction action : actions) {
      if (action instanceof ClaimAction.Send send) {
        send(set, send.claim());
      } else if (action instanceof ClaimAction.Withdraw withdraw) {
        withdraw(withdraw.endpoint(), withdraw.key());
      } else if (action instanceof ClaimAction.Bind bind) {
        bind(set, bind.claim());
      } else if (action instanceof ClaimAction.Shed shed) {
        end(set);
        listener.onShed(shed);
      }
    }
  }

  private void bind(ClaimSet set, Claim claim) {
    end(set);
    bound = claim;
    boundBroker = broker(claim.endpoint()).orElse(null);
    listener.onGranted(claim.endpoint());
  }

  private void end(ClaimSet set) {
    nextAttempt = set.nextAttempt();
    Future<?> timer = refresh;
    if (timer != null) {
      timer.cancel(false);
      refresh = null;
    }
  }

  private void send(ClaimSet set, Claim claim) {
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
            ClaimMessages.toMessage(claim, context.loop().now()),
            TIMEOUT,
            reply -> onReply(set, claim, reply),
            failure -> reclaimLater(set, claim.endpoint()));
  }

  private void onReply(ClaimSet set, Claim claim, PeerMessage reply) {
    if (reply instanceof Grant grant) {
      onGrant(set, grant);
    } else if (reply instanceof Refusal refusal) {
      onRefusal(set, claim, refusal);
    } else if (!(reply instanceof Acknowledgement)) {
      reclaimLater(set, claim.endpoint());
    }
  }

  private void reclaimLater(ClaimSet set, String endpoint) {
    context
        .loop()
        .schedule(
            () -> {
              if (set.isOpen()) {
                carryOut(set, set.brokerChanged(endpoint, context.loop().now()));
              }
            },
            RECLAIM_DELAY);
  }

  /** Takes a grant that a broker sent later than the claim's reply. */
  void onGrant(Grant grant) {
    ClaimSet current = claims;
    if (current == null) {
      withdraw(grant.endpoint(), new ClaimKey(grant.requestId(), grant.attempt()));
      return;
    }
    onGrant(current, grant);
  }

  private void onGrant(ClaimSet set, Grant grant) {
    BrokerStatus hint = ClaimMessages.hint(grant);
    context.learned().choice().hint(hint);
    ClaimKey key = new ClaimKey(grant.requestId(), grant.attempt());
    Claim held = bound;
    if (held != null && held.key().equals(key)) {
      return;
    }
    carryOut(set, set.granted(grant.endpoint(), key, context.loop().now()));
  }

  /** Takes a refusal that a broker sent later than the claim's reply. */
  void onRefusal(Refusal refusal) {
    ClaimSet current = claims;
    if (current == null) {
      return;
    }
    ClaimKey key = new ClaimKey(refusal.requestId(), refusal.attempt());
    for (Claim claim : current.outstanding()) {
      if (claim.key().equals(key)) {
        onRefusal(current, claim, refusal);
        return;
      }
    }
  }

  private void onRefusal(ClaimSet set, Claim claim, Refusal refusal) {
    context.learned().choice().hint(ClaimMessages.hint(refusal));
    long retryAfter = TimeUnit.MICROSECONDS.toNanos(refusal.retryAfterMicros());
    history.add("Refused", claim.endpoint() + " " + refusal.reason());
    Refuse refuse = new Refuse(claim, ClaimMessages.reason(refusal), retryAfter);
    carryOut(set, set.refused(refuse, context.loop().now()));
  }

  /** Sends the open claims again, in case that a broker was replaced or lost them. */
  private void refreshClaims() {
    ClaimSet current = claims;
    if (current != null && current.isOpen()) {
      current.outstanding().forEach(claim -> send(current, claim));
    }
  }

  /** Withdraws all claims. */
  void close() {
    ClaimSet current = claims;
    if (current != null) {
      carryOut(current, current.close());
      end(current);
    }
  }

  /** Gives the place back. */
  void release(Release.Outcome outcome, long firstTokenNanos, long intervalNanos, int tokens) {
    Claim held = bound;
    if (held == null) {
      return;
    }
    bound = null;
    Release release = new Release(held.key(), outcome, firstTokenNanos, intervalNanos, tokens);
    deliver(held.endpoint(), ClaimMessages.toMessage(held.endpoint(), release));
  }

  /** Tells the broker that the prefill is over. */
  void firstToken(long nanos) {
    Claim held = bound;
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
    Claim held = bound;
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
    deliver(held.endpoint(), ClaimMessages.toAdopt(held, isPrefilling, context.loop().now()));
  }

  private void withdraw(String endpoint, ClaimKey key) {
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
