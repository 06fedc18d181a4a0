package io.samphiredyke.gateway.request;

import io.netty.util.concurrent.Future;
import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.Route;
import io.samphiredyke.core.serving.StreamOrigin;
import io.samphiredyke.gateway.frontend.CallerRequest;
import io.samphiredyke.gateway.frontend.RequestHandler;
import io.samphiredyke.gateway.scheduling.AcquisitionListener;
import io.samphiredyke.gateway.scheduling.SlotHandle;
import io.samphiredyke.gateway.upstream.OutgoingRequest;
import io.samphiredyke.platform.CallerRequestHead;
import java.time.Duration;
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

  /** Retry-After for a stream whose software version no reachable host knows. */
  private static final long UNKNOWN_ORIGIN_RETRY_MILLIS = 1_000;

  private static final String STOPPING = "the host stops";

  private final RequestService.Context context;
  private final CallerRequest request;
  private final CallerRequestHead head;
  private final Route route;
  private final @Nullable CustomerSpec customer;
  private final RequestDeadlines deadlines;
  private final SlotAcquisition acquisition;
  private final RequestContent content;
  private final ResponseRelay relay;
  private final RequestLog log;
  private @Nullable Future<?> timer;
  private @Nullable EndpointAttempt attempt;
  private String lastEndpointId = "";
  private int possibleExecutions;
  private int notRunAttempts;
  private boolean reachedEndpoint;
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
    long waitedMillis = context.waitEstimator().waitedMillis(route.name(), head.remainingMillis());
    this.content = new RequestContent(context.crashes(), request, customer);
    this.deadlines =
        new RequestDeadlines(route, head.remainingMillis(), waitedMillis, request.arrivedAt());
    this.acquisition =
        new SlotAcquisition(context, this, head, route, customer, content, deadlines);
    this.log = new RequestLog(context.log(), context.metrics(), head, route.name());
    this.relay =
        new ResponseRelay(
            request.writer(),
            route.kind(),
            head.lastEventId(),
            context.responseMemory().shareOf(head.requestId()),
            this::streamBegins);
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

  RequestLog log() {
    return log;
  }

  void start() {
    context.inProgress().add(this, deadlines, context.loop().nanoTime());
    long remainingNanos = deadlines.deadline() - context.loop().nanoTime();
    timer = context.loop().schedule(this::timedOut, Duration.ofNanos(Math.max(0, remainingNanos)));
    long quarantinedMillis = context.quarantinedMillis(head.estimate());
    if (quarantinedMillis > 0) {
      refused(new SlotRefusal(SlotRefusal.Reason.PROMPT_QUARANTINED, quarantinedMillis));
      return;
    }
    if (head.isTakeUp() && route.kind().isStream()) {
      new OriginLookup(context, head.resumedRequestId(), route, this::takeUp).start();
    } else {
      acquisition.acquire(reachedEndpoint);
    }
  }

  /** Continues a stream of the caller, at the software version that began it only. */
  private void takeUp(@Nullable StreamOrigin origin, boolean isKnown) {
    if (ended) {
      return;
    }
    log.takenUp(head.resumedRequestId(), origin, isKnown);
    if (origin == null) {
      finishNotRun(
          ErrorResponses.SERVICE_UNAVAILABLE,
          "the software version that began the stream is not known",
          UNKNOWN_ORIGIN_RETRY_MILLIS);
      return;
    }
    acquisition.eligibility().restrictTo(origin);
    acquisition.acquire(reachedEndpoint);
  }

  /** Called before the first event of a stream is passed on. */
  private void streamBegins() {
    EndpointAttempt serving = attempt;
    if (serving == null) {
      return;
    }
    EndpointRecord endpoint = serving.endpoint();
    StreamOrigin origin = new StreamOrigin(endpoint.service(), endpoint.version());
    acquisition.eligibility().restrictTo(origin);
    if (!head.isTakeUp()) {
      context.streams().began(head.requestId(), origin);
    }
  }

  @Override
  public void granted(SlotHandle slot) {
    if (ended) {
      slot.release(Outcome.WITHDRAWN);
      return;
    }
    if (content.isQuarantined()) {
      slot.release(Outcome.WITHDRAWN);
      refused(SlotRefusal.ofQuarantinedRequest());
      return;
    }
    if (!context.inProgress().canServe(this, context.loop().nanoTime())) {
      slot.release(Outcome.WITHDRAWN);
      refuseBeforeStop();
      return;
    }
    EndpointRecord endpoint = context.state().endpoints().find(slot.endpointId());
    if (endpoint == null || !acquisition.eligibility().includes(endpoint)) {
      slot.release(Outcome.WITHDRAWN);
      acquisition.exclude(slot.endpointId());
      acquisition.acquire(reachedEndpoint);
    } else if (context.pauses().isPaused(endpoint, context.loop().nanoTime())) {
      slot.release(Outcome.WITHDRAWN);
      acquisition.acquire(reachedEndpoint);
    } else {
      send(endpoint, slot);
    }
  }

  private void send(EndpointRecord endpoint, SlotHandle slot) {
    long remainingMillis = (deadlines.deadline() - context.loop().nanoTime()) / NANOS_PER_MILLI;
    OutgoingRequest outgoing =
        content.outgoing(head.requestId(), endpoint.id(), remainingMillis, relay.lastEventId());
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
    next.start(outgoing, !acquisition.eligibility().hasTried(endpoint.id()));
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
    context.crashes().unreachable(failed.endpoint());
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
    if (failed.wasBrokenOff()) {
      content.brokenOff(failed, head.requestId());
    }
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
    log.retried(reason, previous, content.fingerprint());
    acquisition.exclude(previous.endpoint().id());
    relay.prepareRetry();
    acquisition.acquire(reachedEndpoint);
  }

  /** Called when the complete response has been relayed. */
  void completed(EndpointAttempt serving, int status) {
    context.inProgress().ran(route.name(), context.loop().nanoTime() - serving.sentAt());
    boolean isError = status >= ErrorResponses.INTERNAL_SERVER_ERROR;
    releaseSlot(serving, isError ? Outcome.ERRORED : Outcome.SERVED);
    content.served();
    log.completed(status, serving, millisSinceArrival());
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

  /** Refuses the request if it waits, because the host stops before it could be served. */
  void refuseBeforeStop() {
    if (ended || attempt != null) {
      return;
    }
    acquisition.withdraw();
    if (possibleExecutions > 0) {
      finishFailed(ErrorResponses.BAD_GATEWAY, STOPPING);
    } else {
      finishNotRun(ErrorResponses.SERVICE_UNAVAILABLE, STOPPING, 0);
    }
  }

  /** Ends the request in any state, because the process ends. */
  void endBeforeStop() {
    refuseBeforeStop();
    EndpointAttempt running = attempt;
    if (ended || running == null) {
      return;
    }
    running.cancel();
    possibleExecutions++;
    releaseSlot(running, Outcome.WITHDRAWN);
    finishFailed(ErrorResponses.BAD_GATEWAY, STOPPING);
  }

  private void timedOut() {
    if (ended) {
      return;
    }
    EndpointAttempt running = attempt;
    if (running == null) {
      acquisition.withdraw();
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
      acquisition.withdraw();
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
    context.inProgress().remove(this);
    acquisition.close();
    Future<?> pending = timer;
    if (pending != null) {
      pending.cancel(false);
    }
    relay.release();
    request.body().release();
  }
}
