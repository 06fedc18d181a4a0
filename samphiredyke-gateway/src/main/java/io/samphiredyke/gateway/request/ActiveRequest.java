package io.samphiredyke.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.Route;
import io.samphiredyke.gateway.frontend.CallerRequest;
import io.samphiredyke.gateway.frontend.RequestHandler;
import io.samphiredyke.gateway.scheduling.AcquisitionListener;
import io.samphiredyke.gateway.scheduling.SlotHandle;
import io.samphiredyke.gateway.scheduling.SlotRequirements;
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
final class ActiveRequest implements RequestHandler.Observer, AcquisitionListener {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Sends that were refused unrun, after which the caller is told to come back instead. */
  private static final int MAX_UNRUN_SENDS = 3;

  /** When a caller should come back whose request several endpoints refused unrun. */
  private static final long UNRUN_RETRY_MILLIS = 100;

  /** A customer's importance goes before the route's; routes have a handful of ranks. */
  private static final int ROUTE_RANKS = 16;

  private final RequestService.Context context;
  private final CallerRequest request;
  private final CallerRequestHead head;
  private final Route route;
  private final @Nullable CustomerSpec customer;
  private final RequestDeadlines patience;
  private final String service;
  private final double value;
  private final Set<String> excluded = new HashSet<>();
  private final ResponseRelay relay;
  private final RequestLog log;
  private @Nullable Future<?> timer;
  private long claimId;
  private @Nullable EndpointAttempt attempt;
  private int runs;
  private int unrunSends;
  private boolean reachedEndpoint;
  private boolean quotaTaken;
  private boolean ended;

  ActiveRequest(
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
    this.patience = new RequestDeadlines(route, head.timeLeftMillis(), request.arrivedAt());
    this.service = route.pickService(context.random().nextDouble());
    this.value =
        context.values().value(route.name(), head.work().promptTokens(), head.maxOutputTokens());
    this.log = new RequestLog(context.log(), context.metrics(), head.requestId(), route.name());
    this.relay = new ResponseRelay(request.answer(), route.kind().isStream());
  }

  RequestService.Context context() {
    return context;
  }

  Route route() {
    return route;
  }

  WorkEstimate work() {
    return head.work();
  }

  ResponseRelay relay() {
    return relay;
  }

  void start() {
    long left = patience.endsAt() - context.loop().nanoTime();
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
    int rank =
        payer != null && payer.rank() >= 0
            ? payer.rank() * ROUTE_RANKS + route.rank()
            : route.rank();
    SlotRequirements ask =
        new SlotRequirements(
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
    return tokens == 0 ? payer.defaultRequestTokens() : tokens;
  }

  @Override
  public void granted(SlotHandle granted) {
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
    send(endpoint, granted);
  }

  private void send(EndpointRecord endpoint, SlotHandle granted) {
    long leftMillis = (patience.endsAt() - context.loop().nanoTime()) / NANOS_PER_MILLI;
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
    log.sent(
        endpoint,
        granted.grantedBy(),
        sinceArrival(),
        leftMillis,
        runs + unrunSends + 1,
        relay.lastEvent());
    EndpointAttempt started = new EndpointAttempt(this, endpoint, granted);
    attempt = started;
    started.open(outgoing);
  }

  private long sinceArrival() {
    return (context.loop().nanoTime() - request.arrivedAt()) / NANOS_PER_MILLI;
  }

  @Override
  public void refused(SlotRefusal refusal) {
    if (ended) {
      return;
    }
    String reason = "no place: " + refusal.reason();
    if (runs > 0) {
      finishFailed(ErrorResponses.BAD_GATEWAY, reason);
      return;
    }
    int status =
        refusal.reason() == SlotRefusal.Reason.OVER_QUOTA
            ? ErrorResponses.TOO_MANY
            : ErrorResponses.UNAVAILABLE;
    finishUnrun(status, reason, refusal.retryAfterMillis());
  }

  /** The endpoint stated that it did not run the request. */
  void notRun(EndpointAttempt refusing, int status) {
    reachedEndpoint = true;
    leavePlace(refusing, status == ErrorResponses.UNAVAILABLE ? Outcome.FULL : Outcome.WITHDRAWN);
    unrunSends++;
    String reason = "the endpoint answered " + status + " without running it";
    repeatUnrun(refusing, reason);
  }

  /** No connection to the endpoint was made. */
  void notConnected(EndpointAttempt failed, String reason) {
    leavePlace(failed, Outcome.FAILED);
    unrunSends++;
    repeatUnrun(failed, reason);
  }

  private void repeatUnrun(EndpointAttempt before, String reason) {
    if (unrunSends < MAX_UNRUN_SENDS) {
      repeat(before, reason);
    } else if (runs > 0) {
      finishFailed(ErrorResponses.BAD_GATEWAY, reason);
    } else {
      finishUnrun(ErrorResponses.UNAVAILABLE, reason, UNRUN_RETRY_MILLIS);
    }
  }

  /** The endpoint may have run the request and its answer is of no use. */
  void failed(EndpointAttempt failed, String reason) {
    reachedEndpoint = true;
    runs++;
    leavePlace(failed, failed.failure());
    boolean canResume = !relay.hasStarted() || relay.canResume();
    if (route.kind().isRetryable() && canResume && runs < route.maxAttempts()) {
      repeat(failed, reason);
      return;
    }
    finishFailed(ErrorResponses.BAD_GATEWAY, reason);
  }

  /** Returns whether another endpoint may run the request if the present one fails. */
  boolean mayRunAgain() {
    return route.kind().isRetryable() && runs + 1 < route.maxAttempts();
  }

  private void repeat(EndpointAttempt before, String reason) {
    log.repeated(reason);
    excluded.add(before.endpoint().id());
    relay.nextRun();
    ask();
  }

  /** The whole answer has been passed on. */
  void served(EndpointAttempt serving, int status) {
    boolean isError = status >= ErrorResponses.SERVER_ERROR;
    leavePlace(serving, isError ? Outcome.ERRORED : Outcome.SERVED);
    log.answered(status, serving.endpoint().id(), sinceArrival());
    end();
  }

  private void leavePlace(EndpointAttempt leaving, Outcome outcome) {
    leaving.place().release(outcome);
    if (attempt == leaving) {
      attempt = null;
    }
  }

  private void finishUnrun(int status, String reason, long retryAfterMillis) {
    log.refused(status, reason, sinceArrival(), retryAfterMillis);
    end();
    ErrorResponses.send(request.answer(), status, reason, false, retryAfterMillis);
  }

  private void finishFailed(int status, String reason) {
    log.failed(status, reason, sinceArrival(), runs, relay.lastEvent());
    end();
    if (relay.hasStarted()) {
      request.answer().abort();
    } else {
      ErrorResponses.send(request.answer(), status, reason, true, -1);
    }
  }

  private void timedOut() {
    if (ended) {
      return;
    }
    EndpointAttempt running = attempt;
    if (running == null) {
      context.places().withdraw(claimId);
      if (runs > 0) {
        finishFailed(ErrorResponses.GATEWAY_TIMEOUT, "no time left for another endpoint");
      } else {
        finishUnrun(ErrorResponses.UNAVAILABLE, "no place before the time limit", -1);
      }
      return;
    }
    running.cancel();
    runs++;
    leavePlace(running, Outcome.WITHDRAWN);
    finishFailed(ErrorResponses.GATEWAY_TIMEOUT, "the endpoint did not answer in time");
  }

  @Override
  public void callerGone() {
    if (ended) {
      return;
    }
    log.callerGone(sinceArrival(), attempt != null);
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
}
