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
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Processes one request: acquires a slot, sends the request to the endpoint, relays the response,
 * and retries at another endpoint if that is allowed.
 *
 * <p>A request that is not idempotent is retried only if the previous endpoint stated that it did
 * not run it or if no connection to it could be established.
 */
final class ActiveRequest implements RequestHandler.Observer, AcquisitionListener {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Attempts that did not run the request, after which the caller is told to retry later. */
  private static final int MAX_NOT_RUN_ATTEMPTS = 3;

  /** Retry-After for a request that several endpoints refused without running it. */
  private static final long NOT_RUN_RETRY_MILLIS = 100;

  /** Part of a pause by which returns after its end are spread at random. */
  private static final double PAUSE_RETURN_SPREAD = 0.2;

  private final RequestService.Context context;
  private final CallerRequest request;
  private final CallerRequestHead head;
  private final Route route;
  private final @Nullable CustomerSpec customer;
  private final RequestDeadlines deadlines;
  private final String service;
  private final double value;
  private final Set<String> excluded = new HashSet<>();
  private final RequestContent content;
  private final ResponseRelay relay;
  private final RequestLog log;
  private @Nullable Future<?> timer;
  private long slotRequestId;
  private @Nullable EndpointAttempt attempt;
  private String lastEndpointId = "";
  private int possibleExecutions;
  private int notRunAttempts;
  private boolean reachedEndpoint;
  private boolean quotaCharged;
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
    this.content = new RequestContent(request, customer);
    long waitedMillis = context.waitEstimator().waitedMillis(route.name(), head.remainingMillis());
    this.deadlines =
        new RequestDeadlines(route, head.remainingMillis(), waitedMillis, request.arrivedAt());
    this.service = route.pickService(context.random().nextDouble());
    this.value =
        context
            .valueEstimator()
            .value(route.name(), head.estimate().promptTokens(), head.maxOutputTokens());
    this.log =
        new RequestLog(
            context.log(),
            context.metrics(),
            head.requestId(),
            route.name(),
            head.estimate().parts());
    this.relay = new ResponseRelay(request.writer(), route.kind().isStream());
  }

  RequestService.Context context() {
    return context;
  }

  Route route() {
    return route;
  }

  WorkEstimate estimate() {
    return head.estimate();
  }

  ResponseRelay relay() {
    return relay;
  }

  void start() {
    long remainingNanos = deadlines.deadline() - context.loop().nanoTime();
    timer = context.loop().schedule(this::timedOut, Duration.ofNanos(Math.max(0, remainingNanos)));
    long quarantinedMillis = context.quarantinedMillis(head.estimate());
    if (quarantinedMillis > 0) {
      refused(new SlotRefusal(SlotRefusal.Reason.PROMPT_QUARANTINED, quarantinedMillis));
      return;
    }
    acquireSlot();
  }

  /** Acquires a slot, or waits or gives up if all endpoints want no requests from this host. */
  private void acquireSlot() {
    if (context.pauses().isEmpty()) {
      acquireSlot(Set.copyOf(excluded));
      return;
    }
    long now = context.loop().nanoTime();
    List<EndpointRecord> all = context.state().endpoints().ofService(service);
    List<EndpointRecord> untried =
        all.stream().filter(endpoint -> !excluded.contains(endpoint.id())).toList();
    long usableAt = context.pauses().firstEnd(untried.isEmpty() ? all : untried, now);
    if (usableAt > now) {
      awaitPause(usableAt, now);
      return;
    }
    Set<String> unusable = context.pauses().pausedOf(all, now);
    if (!untried.isEmpty()) {
      unusable.addAll(excluded);
    }
    acquireSlot(Set.copyOf(unusable));
  }

  private void awaitPause(long usableAt, long now) {
    if (usableAt - deadlines.startDeadline() <= 0) {
      context.loop().schedule(this::acquireAfterPause, Duration.ofNanos(usableAt - now));
      return;
    }
    double spread = 1 + PAUSE_RETURN_SPREAD * context.random().nextDouble();
    refused(
        new SlotRefusal(
            SlotRefusal.Reason.ENDPOINTS_PAUSED,
            (long) ((usableAt - now) / NANOS_PER_MILLI * spread)));
  }

  private void acquireAfterPause() {
    if (!ended) {
      acquireSlot();
    }
  }

  private void acquireSlot(Set<String> unusable) {
    long units = 0;
    CustomerSpec charged = customer;
    if (charged != null && !quotaCharged) {
      units = CustomerCharge.quotaUnits(charged, head);
      quotaCharged = true;
    }
    SlotRequirements requirements =
        new SlotRequirements(
            service,
            CustomerCharge.rank(route, charged),
            value,
            head.estimate(),
            charged == null ? "" : charged.name(),
            units,
            reachedEndpoint,
            unusable,
            deadlines.objectiveDeadline(),
            deadlines.startDeadline());
    slotRequestId = context.slotClient().acquire(requirements, this);
  }

  @Override
  public void granted(SlotHandle slot) {
    if (ended) {
      slot.release(Outcome.WITHDRAWN);
      return;
    }
    EndpointRecord endpoint = context.state().endpoints().find(slot.endpointId());
    if (endpoint == null) {
      slot.release(Outcome.WITHDRAWN);
      excluded.add(slot.endpointId());
      acquireSlot();
    } else if (context.pauses().isPaused(endpoint, context.loop().nanoTime())) {
      slot.release(Outcome.WITHDRAWN);
      acquireSlot();
    } else {
      send(endpoint, slot);
    }
  }

  private void send(EndpointRecord endpoint, SlotHandle slot) {
    long remainingMillis = (deadlines.deadline() - context.loop().nanoTime()) / NANOS_PER_MILLI;
    HttpHeaders headers =
        EndpointRequestHead.create(
            request.head().headers(),
            customer == null ? "" : customer.name(),
            endpoint.id(),
            remainingMillis,
            relay.lastEventId());
    OutgoingRequest outgoing =
        new OutgoingRequest(
            head.requestId(),
            request.head().method(),
            request.head().uri(),
            headers,
            request.body());
    log.sent(
        endpoint,
        slot.grantedBy(),
        millisSinceArrival(),
        remainingMillis,
        possibleExecutions + notRunAttempts + 1,
        relay.lastEventId());
    lastEndpointId = endpoint.id();
    EndpointAttempt next = new EndpointAttempt(this, endpoint, slot);
    attempt = next;
    next.start(outgoing);
  }

  private long millisSinceArrival() {
    return (context.loop().nanoTime() - request.arrivedAt()) / NANOS_PER_MILLI;
  }

  @Override
  public void refused(SlotRefusal refusal) {
    if (ended) {
      return;
    }
    String reason = "no place: " + refusal.reason();
    if (possibleExecutions > 0) {
      finishFailed(ErrorResponses.BAD_GATEWAY, reason);
      return;
    }
    int status =
        refusal.reason() == SlotRefusal.Reason.OVER_QUOTA
            ? ErrorResponses.TOO_MANY_REQUESTS
            : ErrorResponses.SERVICE_UNAVAILABLE;
    finishNotRun(status, reason, refusal.retryAfterMillis());
  }

  /** Called when the endpoint stated that it did not run the request. */
  void notRun(EndpointAttempt refusing, int status) {
    reachedEndpoint = true;
    releaseSlot(
        refusing, status == ErrorResponses.SERVICE_UNAVAILABLE ? Outcome.FULL : Outcome.WITHDRAWN);
    notRunAttempts++;
    String reason = "the endpoint answered " + status + " without running it";
    retryNotRun(refusing, reason);
  }

  /** Called when no connection to the endpoint could be established. */
  void connectFailed(EndpointAttempt failed, String reason) {
    releaseSlot(failed, Outcome.FAILED);
    notRunAttempts++;
    retryNotRun(failed, reason);
  }

  private void retryNotRun(EndpointAttempt previous, String reason) {
    if (notRunAttempts < MAX_NOT_RUN_ATTEMPTS) {
      retry(previous, reason);
    } else if (possibleExecutions > 0) {
      finishFailed(ErrorResponses.BAD_GATEWAY, reason);
    } else {
      finishNotRun(ErrorResponses.SERVICE_UNAVAILABLE, reason, NOT_RUN_RETRY_MILLIS);
    }
  }

  /** Called when the endpoint may have run the request but its response can't be used. */
  void failed(EndpointAttempt failed, String reason) {
    reachedEndpoint = true;
    possibleExecutions++;
    releaseSlot(failed, failed.failureOutcome());
    boolean canResume = !relay.hasStarted() || relay.canResume();
    if (route.kind().isRetryable() && canResume && possibleExecutions < route.maxAttempts()) {
      retry(failed, reason);
      return;
    }
    finishFailed(ErrorResponses.BAD_GATEWAY, reason);
  }

  /** Returns whether another endpoint may run the request if the current one fails. */
  boolean mayRetry() {
    return route.kind().isRetryable() && possibleExecutions + 1 < route.maxAttempts();
  }

  private void retry(EndpointAttempt previous, String reason) {
    log.retried(reason, previous.endpoint().id(), content.fingerprint());
    excluded.add(previous.endpoint().id());
    relay.prepareRetry();
    acquireSlot();
  }

  /** Called when the complete response has been relayed. */
  void completed(EndpointAttempt serving, int status) {
    boolean isError = status >= ErrorResponses.INTERNAL_SERVER_ERROR;
    releaseSlot(serving, isError ? Outcome.ERRORED : Outcome.SERVED);
    log.completed(status, serving.endpoint().id(), millisSinceArrival());
    end();
  }

  private void releaseSlot(EndpointAttempt released, Outcome outcome) {
    released.slot().release(outcome);
    if (attempt == released) {
      attempt = null;
    }
  }

  private void finishNotRun(int status, String reason, long retryAfterMillis) {
    log.refused(status, reason, millisSinceArrival(), retryAfterMillis);
    end();
    ErrorResponses.send(request.writer(), status, reason, false, retryAfterMillis);
  }

  private void finishFailed(int status, String reason) {
    log.failed(
        status,
        reason,
        millisSinceArrival(),
        possibleExecutions,
        relay.lastEventId(),
        lastEndpointId,
        content.fingerprint());
    end();
    if (relay.hasStarted()) {
      request.writer().abort();
    } else {
      ErrorResponses.send(request.writer(), status, reason, true, -1);
    }
  }

  private void timedOut() {
    if (ended) {
      return;
    }
    EndpointAttempt running = attempt;
    if (running == null) {
      context.slotClient().withdraw(slotRequestId);
      if (possibleExecutions > 0) {
        finishFailed(ErrorResponses.GATEWAY_TIMEOUT, "no time left for another endpoint");
      } else {
        finishNotRun(ErrorResponses.SERVICE_UNAVAILABLE, "no place before the time limit", -1);
      }
      return;
    }
    running.cancel();
    possibleExecutions++;
    releaseSlot(running, Outcome.WITHDRAWN);
    finishFailed(ErrorResponses.GATEWAY_TIMEOUT, "the endpoint did not answer in time");
  }

  @Override
  public void onDisconnected() {
    if (ended) {
      return;
    }
    log.callerDisconnected(millisSinceArrival(), attempt != null);
    EndpointAttempt running = attempt;
    if (running == null) {
      context.slotClient().withdraw(slotRequestId);
    } else {
      running.cancel();
      releaseSlot(running, Outcome.WITHDRAWN);
    }
    end();
  }

  @Override
  public void onWritable() {
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
