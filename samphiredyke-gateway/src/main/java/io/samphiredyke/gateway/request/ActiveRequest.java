package io.samphiredyke.gateway.request;

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

  /** Retry-After for a request that several endpoints refused without running it. */
  private static final long NOT_RUN_RETRY_MILLIS = 100;

  /** Retry-After for a stream whose software version no reachable host knows. */
  private static final long UNKNOWN_ORIGIN_RETRY_MILLIS = 1_000;

  private static final String UNKNOWN_ORIGIN =
      "the software version that began the stream is not known";

  private static final String STOPPING = "the host stops";

  private final RequestService.Context context;
  private final CallerRequest request;
  private final CallerRequestHead head;
  private final Route route;
  private final RequestDeadlines deadlines;
  private final SlotAcquisition acquisition;
  private final RequestContent content;
  private final ResponseRelay relay;
  private final RequestLog log;
  private final AttemptCounter attempts;
  private final StreamContinuity continuity;
  private final UnconfirmedEnd unconfirmedEnd;
  private final EndCheck endCheck;
  private final RequestOutcome outcome;
  private @Nullable Future<?> timer;
  private @Nullable EndpointAttempt attempt;
  private String lastEndpointId = "";
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
    this.attempts = new AttemptCounter(route);
    long waitedMillis = context.waitEstimator().waitedMillis(route.name(), head.remainingMillis());
    this.content = new RequestContent(context.crashes(), request, customer, route);
    this.deadlines =
        new RequestDeadlines(route, head.remainingMillis(), waitedMillis, request.arrivedAt());
    this.acquisition =
        new SlotAcquisition(context, this, head, route, customer, content, deadlines, attempts);
    this.log = new RequestLog(context.log(), context.metrics(), head, route.name());
    this.relay =
        new ResponseRelay(
            request.writer(),
            route.kind(),
            head.lastEventId(),
            context.responseMemory().shareOf(head.requestId()),
            this::streamBegins);
    this.continuity = new StreamContinuity(context, head, route, acquisition.eligibility(), log);
    this.endCheck = new EndCheck(context, log);
    this.outcome = new RequestOutcome(context, request, content, relay, log, this::end);
    this.unconfirmedEnd = new UnconfirmedEnd(relay, outcome);
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
    long now = context.loop().nanoTime();
    context.inProgress().add(this, deadlines, now);
    timer = context.loop().schedule(this::timedOut, deadlines.remaining(now));
    long quarantinedMillis = context.quarantinedMillis(head.estimate());
    if (quarantinedMillis > 0) {
      refused(new SlotRefusal(SlotRefusal.Reason.PROMPT_QUARANTINED, quarantinedMillis));
      return;
    }
    if (continuity.isTakeUp()) {
      continuity.findOrigin(
          acquisition::acquire, () -> refuse(UNKNOWN_ORIGIN, UNKNOWN_ORIGIN_RETRY_MILLIS));
    } else {
      acquisition.acquire();
    }
  }

  private void streamBegins() {
    EndpointAttempt serving = attempt;
    if (serving != null) {
      continuity.begins(serving.endpoint());
    }
  }

  @Override
  public void granted(SlotHandle slot) {
    if (ended || attempt != null) {
      slot.release(Outcome.WITHDRAWN);
      return;
    }
    SlotRefusal quarantined = content.quarantineRefusal();
    if (quarantined != null) {
      slot.release(Outcome.WITHDRAWN);
      refused(quarantined);
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
      acquisition.acquire();
    } else if (context.pauses().isPaused(endpoint, context.loop().nanoTime())) {
      slot.release(Outcome.WITHDRAWN);
      acquisition.acquire();
    } else {
      send(endpoint, slot);
    }
  }

  private void send(EndpointRecord endpoint, SlotHandle slot) {
    long remainingMillis = deadlines.remaining(context.loop().nanoTime()).toMillis();
    OutgoingRequest outgoing =
        content.outgoing(head.requestId(), endpoint.id(), remainingMillis, relay.lastEventId());
    log.sent(
        endpoint,
        slot.grantedBy(),
        outcome.millisSinceArrival(),
        remainingMillis,
        attempts.next(),
        relay.lastEventId());
    lastEndpointId = endpoint.id();
    content.sending();
    EndpointAttempt next = new EndpointAttempt(this, endpoint, slot);
    attempt = next;
    next.start(outgoing);
  }

  @Override
  public void refused(SlotRefusal refusal) {
    if (ended || attempt != null) {
      return;
    }
    String reason = "no place: " + refusal.reason();
    if (attempts.mayHaveRun()) {
      finishFailed(ErrorResponses.BAD_GATEWAY, reason);
      return;
    }
    outcome.refused(ErrorResponses.statusOf(refusal), reason, refusal.retryAfterMillis());
  }

  /** Called when the endpoint stated that it did not run the request. */
  void notRun(EndpointAttempt refusing, int status) {
    releaseSlot(
        refusing, status == ErrorResponses.SERVICE_UNAVAILABLE ? Outcome.FULL : Outcome.WITHDRAWN);
    attempts.refused();
    retryNotRun(refusing, "the endpoint answered " + status + " without running it");
  }

  /** Called when no connection to the endpoint could be established. */
  void connectFailed(EndpointAttempt failed, String reason) {
    releaseSlot(failed, failed.failureOutcome());
    attempts.unreachable();
    retryNotRun(failed, reason);
  }

  private void retryNotRun(EndpointAttempt previous, String reason) {
    if (attempts.mayTryAgain()) {
      retry(previous, reason);
    } else {
      finishUnserved(reason, NOT_RUN_RETRY_MILLIS);
    }
  }

  private void finishUnserved(String reason, long retryAfterMillis) {
    if (attempts.mayHaveRun()) {
      finishFailed(ErrorResponses.BAD_GATEWAY, reason);
    } else {
      outcome.refused(ErrorResponses.SERVICE_UNAVAILABLE, reason, retryAfterMillis);
    }
  }

  /** Called when the endpoint may have run the request but its response can't be used. */
  void failed(EndpointAttempt failed, String reason) {
    if (unconfirmedEnd.complete()) {
      releaseSlot(failed, Outcome.WITHDRAWN);
      return;
    }
    attempts.possiblyRun();
    releaseSlot(failed, failed.failureOutcome());
    if (failed.wasBrokenOff()) {
      content.brokenOff(failed, head.requestId());
    }
    if (attempts.mayRunAgain() && (!relay.hasStarted() || relay.canResume())) {
      retry(failed, reason);
      return;
    }
    finishFailed(ErrorResponses.BAD_GATEWAY, reason);
  }

  /** Returns whether another endpoint may run the request if the current one fails. */
  boolean mayRetry() {
    return attempts.mayRetryAfterCurrent();
  }

  private void retry(EndpointAttempt previous, String reason) {
    log.retried(reason, previous, content.fingerprint());
    acquisition.exclude(previous.endpoint().id());
    relay.prepareRetry();
    acquisition.acquire();
  }

  /** Called at the regular end of a response. */
  void responseEnded(EndpointAttempt serving) {
    boolean isConfirming = unconfirmedEnd.pending() != null;
    if (!isConfirming) {
      context.inProgress().ran(route.name(), context.loop().nanoTime() - serving.sentAt());
    }
    serving.releaseSlot(isConfirming ? Outcome.WITHDRAWN : serving.successOutcome());
    if (isConfirming || !serving.endsWithConnection()) {
      outcome.completed(serving);
    } else {
      endCheck.begin(serving, () -> endedRegularly(serving), reason -> failed(serving, reason));
    }
  }

  private void endedRegularly(EndpointAttempt serving) {
    attempt = null;
    if (!mayRetry() || !unconfirmedEnd.isNeededFor(serving)) {
      outcome.completed(serving);
      return;
    }
    attempts.possiblyRun();
    Duration limit = Duration.ofMillis(InactivityTimeout.untilContinued(route));
    unconfirmedEnd.begin(serving, context.loop().schedule(this::stopConfirming, limit));
    retry(serving, "the stream ended with its connection");
  }

  private void stopConfirming() {
    if (!ended && unconfirmedEnd.pending() != null) {
      withdraw();
      unconfirmedEnd.complete();
    }
  }

  private void releaseSlot(EndpointAttempt released, Outcome outcome) {
    released.releaseSlot(outcome);
    if (attempt == released) {
      attempt = null;
    }
  }

  private void finishFailed(int status, String reason) {
    if (unconfirmedEnd.complete()) {
      return;
    }
    outcome.failed(status, reason, attempts.possibleExecutions(), lastEndpointId);
  }

  /** Refuses the request if it waits, because the host stops before it could be served. */
  void refuseBeforeStop() {
    refuse(STOPPING, 0);
  }

  @Override
  public boolean isWaiting() {
    return !ended && attempt == null;
  }

  @Override
  public void refuse(String reason, long retryAfterMillis) {
    if (isWaiting()) {
      acquisition.withdraw();
      finishUnserved(reason, retryAfterMillis);
    }
  }

  /** Ends the request in any state, because the process ends. */
  void endBeforeStop() {
    refuseBeforeStop();
    EndpointAttempt running = attempt;
    if (ended || running == null) {
      return;
    }
    abandon(running, ErrorResponses.BAD_GATEWAY, STOPPING);
  }

  private void abandon(EndpointAttempt running, int status, String reason) {
    running.cancel();
    attempts.possiblyRun();
    releaseSlot(running, Outcome.WITHDRAWN);
    finishFailed(status, reason);
  }

  private void timedOut() {
    if (ended) {
      return;
    }
    EndpointAttempt running = attempt;
    if (running == null) {
      acquisition.withdraw();
      if (attempts.mayHaveRun()) {
        finishFailed(ErrorResponses.GATEWAY_TIMEOUT, "no time left for another endpoint");
      } else {
        outcome.refused(ErrorResponses.SERVICE_UNAVAILABLE, "no place before the time limit", -1);
      }
      return;
    }
    abandon(running, ErrorResponses.GATEWAY_TIMEOUT, "the endpoint did not answer in time");
  }

  @Override
  public void onDisconnected() {
    if (ended) {
      return;
    }
    log.callerDisconnected(outcome.millisSinceArrival(), attempt != null);
    withdraw();
    end();
  }

  /** Cancels the current attempt, or the wait for a slot. */
  private void withdraw() {
    EndpointAttempt running = attempt;
    if (running == null) {
      acquisition.withdraw();
    } else {
      running.cancel();
      releaseSlot(running, Outcome.WITHDRAWN);
    }
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
    unconfirmedEnd.close();
    endCheck.close();
    Future<?> pending = timer;
    if (pending != null) {
      pending.cancel(false);
    }
    relay.release();
    content.close();
    request.body().release();
  }
}
