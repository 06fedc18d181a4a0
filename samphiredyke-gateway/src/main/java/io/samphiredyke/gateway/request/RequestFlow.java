package io.samphiredyke.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.Refusal;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.Route;
import io.samphiredyke.gateway.front.CallerRequest;
import io.samphiredyke.gateway.front.RequestHandler;
import io.samphiredyke.gateway.place.Place;
import io.samphiredyke.gateway.place.PlaceListener;
import io.samphiredyke.gateway.place.PlaceRequest;
import io.samphiredyke.gateway.upstream.OutgoingRequest;
import io.samphiredyke.platform.CallerRequestHead;
import io.samphiredyke.platform.EndpointRequestHead;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The way of one request: a place, an endpoint, its answer; again where that is allowed.
 *
 * <p>A request that may run only once is sent on only after the endpoint before stated that it did
 * not run it, or after no connection was made.
 */
final class RequestFlow implements RequestHandler.Observer, PlaceListener {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Time that an answer of this host needs to reach a caller before it gives up. */
  private static final long ANSWER_MARGIN_MILLIS = 20;

  /** Sends that were refused unrun, after which the caller is told to come back instead. */
  private static final int MAX_UNRUN_SENDS = 2;

  private final RequestService.Context context;
  private final CallerRequest request;
  private final CallerRequestHead head;
  private final Route route;
  private final @Nullable CustomerSpec customer;
  private final CallerPatience patience;
  private final String service;
  private final double value;
  private final Set<String> excluded = new HashSet<>();
  private final AnswerRelay relay;
  private @Nullable Future<?> timer;
  private long claimId;
  private @Nullable Place place;
  private @Nullable EndpointAttempt attempt;
  private int runs;
  private int unrunSends;
  private boolean reachedEndpoint;
  private boolean quotaTaken;
  private boolean ended;

  RequestFlow(
      RequestService.Context context,
      CallerRequest request,
      CallerRequestHead head,
      Route route,
      @Nullable CustomerSpec customer) {
    this.context = context;
    this.request = request;
    this.head = head;
    this.route = route;
    this.customer = customer;
    this.patience = new CallerPatience(route, head.timeLeftMillis(), request.arrivedAt());
    this.service = route.service(context.random().nextDouble());
    this.value =
        context.values().value(route.name(), head.work().promptTokens(), head.maxOutputTokens());
    this.relay = new AnswerRelay(request.answer(), route.kind().isStream());
  }

  RequestService.Context context() {
    return context;
  }

  Route route() {
    return route;
  }

  String requestId() {
    return head.requestId();
  }

  AnswerRelay relay() {
    return relay;
  }

  void start() {
    long left = patience.endsAt() - context.loop().now();
    timer = context.loop().schedule(this::timedOut, Duration.ofNanos(Math.max(0, left)));
    ask();
  }

  private void ask() {
    long units = 0;
    CustomerSpec payer = customer;
    if (payer != null && !quotaTaken) {
      units = quotaUnits(payer);
      quotaTaken = true;
    }
    int rank = payer != null && payer.rank() >= 0 ? payer.rank() * 16 + route.rank() : route.rank();
    PlaceRequest ask =
        new PlaceRequest(
            head.requestId(),
            service,
            rank,
            value,
            head.work(),
            payer == null ? "" : payer.name(),
            units,
            reachedEndpoint,
            Set.copyOf(excluded),
            patience.dueAt(),
            patience.latestStart());
    claimId = context.places().ask(ask, this);
  }

  private long quotaUnits(CustomerSpec payer) {
    if (!payer.countsTokens()) {
      return 1;
    }
    long tokens = (long) head.work().promptTokens() + head.maxOutputTokens();
    return tokens == 0 ? payer.plainTokens() : tokens;
  }

  @Override
  public void granted(Place granted) {
    if (ended) {
      granted.release(Outcome.WITHDRAWN);
      return;
    }
    EndpointRecord endpoint = context.belief().endpoints().find(granted.endpointId());
    if (endpoint == null) {
      granted.release(Outcome.WITHDRAWN);
      excluded.add(granted.endpointId());
      ask();
      return;
    }
    place = granted;
    send(endpoint, granted);
  }

  private void send(EndpointRecord endpoint, Place granted) {
    long leftMillis = (patience.endsAt() - context.loop().now()) / NANOS_PER_MILLI;
    HttpHeaders headers =
        EndpointRequestHead.create(
            request.head().headers(),
            customer == null ? "" : customer.name(),
            endpoint.id(),
            leftMillis,
            relay.lastEvent());
    OutgoingRequest outgoing =
        new OutgoingRequest(
            head.requestId(),
            request.head().method(),
            request.head().uri(),
            headers,
            request.body());
    context
        .log()
        .event(
            "sent",
            "id",
            head.requestId(),
            "endpoint",
            endpoint.id(),
            "address",
            endpoint.address(),
            "by",
            granted.grantedBy(),
            "waited_ms",
            sinceArrival(),
            "left_ms",
            leftMillis,
            "attempt",
            runs + unrunSends + 1,
            "after_event",
            relay.lastEvent());
    EndpointAttempt started = new EndpointAttempt(this, endpoint, granted);
    attempt = started;
    started.open(outgoing);
  }

  private long sinceArrival() {
    return (context.loop().now() - request.arrivedAt()) / NANOS_PER_MILLI;
  }

  @Override
  public void refused(Refusal refusal) {
    if (ended) {
      return;
    }
    String reason = "no place: " + refusal.reason();
    if (runs > 0) {
      finishFailed(OwnAnswers.BAD_GATEWAY, reason);
      return;
    }
    int status =
        refusal.reason() == Refusal.Reason.OVER_QUOTA
            ? OwnAnswers.TOO_MANY
            : OwnAnswers.UNAVAILABLE;
    finishUnrun(status, reason, refusal.retryAfterMillis());
  }

  /** The endpoint stated that it did not run the request. */
  void notRun(EndpointAttempt refusing, int status) {
    reachedEndpoint = true;
    leavePlace(refusing, status == OwnAnswers.UNAVAILABLE ? Outcome.FULL : Outcome.WITHDRAWN);
    unrunSends++;
    String reason = "the endpoint answered " + status + " without running it";
    if (unrunSends >= MAX_UNRUN_SENDS) {
      if (runs > 0) {
        finishFailed(OwnAnswers.BAD_GATEWAY, reason);
      } else {
        finishUnrun(OwnAnswers.UNAVAILABLE, reason, 100);
      }
      return;
    }
    repeat(refusing, reason);
  }

  /** No connection to the endpoint was made. */
  void notConnected(EndpointAttempt failed, String reason) {
    leavePlace(failed, Outcome.FAILED);
    unrunSends++;
    if (unrunSends > MAX_UNRUN_SENDS) {
      if (runs > 0) {
        finishFailed(OwnAnswers.BAD_GATEWAY, reason);
      } else {
        finishUnrun(OwnAnswers.UNAVAILABLE, reason, 100);
      }
      return;
    }
    repeat(failed, reason);
  }

  /** The endpoint may have run the request and its answer is of no use. */
  void failed(EndpointAttempt failed, String reason) {
    reachedEndpoint = true;
    runs++;
    leavePlace(failed, Outcome.FAILED);
    boolean canResume = !relay.hasStarted() || relay.canResume();
    if (route.kind().mayRepeat() && canResume && runs < route.maxAttempts()) {
      repeat(failed, reason);
      return;
    }
    finishFailed(OwnAnswers.BAD_GATEWAY, reason);
  }

  /** Returns whether another endpoint may run the request if the present one fails. */
  boolean mayRunAgain() {
    return route.kind().mayRepeat() && runs + 1 < route.maxAttempts();
  }

  private void repeat(EndpointAttempt before, String reason) {
    context.log().event("repeat", "id", head.requestId(), "reason", reason);
    context.metrics().repeated();
    excluded.add(before.endpoint().id());
    relay.nextRun();
    ask();
  }

  /** The whole answer has been passed on. */
  void served(EndpointAttempt serving, int status) {
    leavePlace(serving, Outcome.SERVED);
    context
        .log()
        .event(
            "answered",
            "id",
            head.requestId(),
            "status",
            status,
            "endpoint",
            serving.endpoint().id(),
            "ms",
            sinceArrival());
    context.metrics().answered(route.name(), sinceArrival());
    end();
  }

  private void leavePlace(EndpointAttempt leaving, Outcome outcome) {
    leaving.place().release(outcome);
    if (attempt == leaving) {
      attempt = null;
      place = null;
    }
  }

  private void finishUnrun(int status, String reason, long retryAfterMillis) {
    logEnd("refused", status, reason, retryAfterMillis);
    context.metrics().refused(reason);
    end();
    OwnAnswers.send(request.answer(), status, reason, false, retryAfterMillis);
  }

  private void finishFailed(int status, String reason) {
    logEnd("failed", status, reason, -1);
    context.metrics().failed(reason);
    end();
    if (relay.hasStarted()) {
      request.answer().abort();
    } else {
      OwnAnswers.send(request.answer(), status, reason, true, -1);
    }
  }

  private void logEnd(String event, int status, String reason, long retryAfterMillis) {
    context
        .log()
        .event(
            event,
            "id",
            head.requestId(),
            "status",
            status,
            "reason",
            reason,
            "route",
            route.name(),
            "ms",
            sinceArrival(),
            "retry_ms",
            retryAfterMillis,
            "runs",
            runs,
            "last_event",
            relay.lastEvent());
  }

  private void timedOut() {
    if (ended) {
      return;
    }
    EndpointAttempt running = attempt;
    if (running == null) {
      context.places().withdraw(claimId);
      if (runs > 0) {
        finishFailed(OwnAnswers.GATEWAY_TIMEOUT, "no time left for another endpoint");
      } else {
        finishUnrun(OwnAnswers.UNAVAILABLE, "no place before the time limit", -1);
      }
      return;
    }
    running.cancel();
    runs++;
    leavePlace(running, Outcome.WITHDRAWN);
    finishFailed(OwnAnswers.GATEWAY_TIMEOUT, "the endpoint did not answer in time");
  }

  @Override
  public void callerGone() {
    if (ended) {
      return;
    }
    context
        .log()
        .event("caller_gone", "id", head.requestId(), "ms", sinceArrival(), "sent", runs > 0);
    EndpointAttempt running = attempt;
    if (running == null) {
      context.places().withdraw(claimId);
    } else {
      running.cancel();
      leavePlace(running, Outcome.WITHDRAWN);
    }
    end();
  }

  @Override
  public void writable() {
    EndpointAttempt running = attempt;
    if (running != null) {
      running.setReading(true);
    }
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    Future<?> pending = timer;
    if (pending != null) {
      pending.cancel(false);
    }
    relay.release();
    request.body().release();
  }

  boolean isEnded() {
    return ended;
  }

  static long answerMarginMillis() {
    return ANSWER_MARGIN_MILLIS;
  }
}
