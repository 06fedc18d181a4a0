package io.samphiredyke.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.stream.EventDecision;
import io.samphiredyke.gateway.scheduling.SlotHandle;
import io.samphiredyke.gateway.upstream.EndpointExchange;
import io.samphiredyke.gateway.upstream.EndpointTarget;
import io.samphiredyke.gateway.upstream.ExchangeFailure;
import io.samphiredyke.gateway.upstream.ExchangeListener;
import io.samphiredyke.gateway.upstream.OutgoingRequest;
import io.samphiredyke.platform.EndpointResponseHead;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** One attempt to run a request at an endpoint. */
final class EndpointAttempt implements ExchangeListener {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Minimum delay until the next inactivity check, for endpoints that are throttled by a slow
   * caller.
   */
  private static final long MIN_CHECK_MILLIS = 50;

  /** Size of a body that is not relayed after which the connection is given up. */
  private static final int MAX_DISCARDED_BYTES = 64 * 1024;

  private final ActiveRequest request;
  private final EndpointRecord endpoint;
  private final SlotHandle slot;
  private final AttemptStatements statements;
  private @Nullable EndpointExchange exchange;
  private @Nullable String defect;
  private @Nullable Future<?> inactivityTimer;
  private long sentAt;
  private long lastProgressAt;
  private boolean isNotRun;
  private boolean isDone;
  private boolean hasContent;
  private boolean hasStarted;
  private boolean wasBrokenOff;
  private boolean hasPathFailed;
  private long lastEventIdBefore;
  private int discardedBytes;
  private int status;
  private boolean isSuccess;
  private boolean endsWithConnection;
  private boolean isSlotReleased;
  private HttpMethod method = HttpMethod.GET;

  EndpointAttempt(ActiveRequest request, EndpointRecord endpoint, SlotHandle slot) {
    this.request = request;
    this.endpoint = endpoint;
    this.slot = slot;
    this.statements = new AttemptStatements(request.context(), endpoint, slot);
  }

  /** Returns the outcome to report for an attempt whose response was relayed as a whole. */
  Outcome successOutcome() {
    return status >= ErrorResponses.INTERNAL_SERVER_ERROR ? Outcome.ERRORED : Outcome.SERVED;
  }

  /**
   * Returns the outcome to report for a failed attempt. A path that may be lost tells nothing about
   * the endpoint, which other hosts may reach.
   */
  Outcome failureOutcome() {
    if (status >= ErrorResponses.INTERNAL_SERVER_ERROR) {
      return Outcome.ERRORED;
    }
    if (isPathSuspect()) {
      return Outcome.WITHDRAWN;
    }
    boolean hasBegun = request.relay().lastEventId() > lastEventIdBefore;
    return wasBrokenOff && !hasBegun ? Outcome.BROKEN_OFF : Outcome.FAILED;
  }

  /** Returns whether the endpoint ended the connection, as it does when it crashes. */
  boolean wasBrokenOff() {
    return wasBrokenOff && !isPathSuspect();
  }

  private boolean isPathSuspect() {
    EndpointExchange open = exchange;
    return hasPathFailed || open != null && open.isPathSuspect();
  }

  /** Returns how far the response came: {@code none}, {@code head} or {@code begun}. */
  String responseState() {
    if (status == 0) {
      return "none";
    }
    return hasStarted ? "begun" : "head";
  }

  /** Returns whether a stream ended after a head of success and before its first event. */
  boolean endedBeforeFirstEvent() {
    return request.route().kind().isStream() && isSuccess && !hasStarted;
  }

  /** Returns whether the end of the connection is the only sign that the response is complete. */
  boolean endsWithConnection() {
    return endsWithConnection;
  }

  /** Returns the host through which the response came, empty if it came directly. */
  String peer() {
    EndpointExchange open = exchange;
    return open == null ? "" : open.peer();
  }

  /** Returns the status of the response, 0 before its head. */
  int status() {
    return status;
  }

  /** Returns when the request was sent, in nanoseconds of the control loop's clock. */
  long sentAt() {
    return sentAt;
  }

  EndpointRecord endpoint() {
    return endpoint;
  }

  /** Releases the slot, unless it is released already. */
  void releaseSlot(Outcome outcome) {
    if (!isSlotReleased) {
      isSlotReleased = true;
      slot.release(outcome);
    }
  }

  /** Records that the process of the endpoint ended, which ended the response too. */
  void processEnded() {
    wasBrokenOff = true;
  }

  /** Sends the request. */
  void start(OutgoingRequest outgoing) {
    lastEventIdBefore = request.relay().lastEventId();
    method = outgoing.method();
    sentAt = request.context().loop().nanoTime();
    lastProgressAt = sentAt;
    EndpointTarget target = new EndpointTarget(endpoint.id(), endpoint.address());
    exchange = request.context().connections().open(target, outgoing, this);
    if (!isDone && request.mayRetry()) {
      scheduleInactivityCheck(
          InactivityTimeout.beforeFirstEvent(request.route(), request.estimate()));
    }
  }

  private void scheduleInactivityCheck(long millis) {
    inactivityTimer =
        request.context().loop().schedule(this::checkInactivity, Duration.ofMillis(millis));
  }

  private void checkInactivity() {
    if (isDone) {
      return;
    }
    long limitMillis =
        hasStarted
            ? InactivityTimeout.betweenChunks(request.route())
            : InactivityTimeout.beforeFirstEvent(request.route(), request.estimate());
    long inactiveMillis = (request.context().loop().nanoTime() - lastProgressAt) / NANOS_PER_MILLI;
    if (inactiveMillis < limitMillis || !request.relay().isWritable()) {
      scheduleInactivityCheck(Math.max(MIN_CHECK_MILLIS, limitMillis - inactiveMillis));
      return;
    }
    // What silenced this connection may have silenced the idle ones to the endpoint as well.
    request.context().connections().closeIdle(endpoint.address());
    fail("the endpoint was silent for " + inactiveMillis + " ms");
  }

  private void finish() {
    isDone = true;
    Future<?> pending = inactivityTimer;
    if (pending != null) {
      pending.cancel(false);
    }
  }

  void cancel() {
    finish();
    EndpointExchange open = exchange;
    if (open != null) {
      open.cancel();
    }
  }

  void setReading(boolean reading) {
    if (reading) {
      // While reading was paused for a slow caller, the endpoint was not silent.
      lastProgressAt = request.context().loop().nanoTime();
    }
    EndpointExchange open = exchange;
    if (open != null) {
      open.setReading(reading);
    }
  }

  @Override
  public boolean isStillWanted() {
    return !isDone && request.context().accepts(endpoint);
  }

  @Override
  public void onSkipped(EndpointResponseHead head) {
    request.log().skippedResponse(endpoint.id(), head.requestId(), head.status());
  }

  @Override
  public void onHead(EndpointResponseHead head, HttpResponse response) {
    statements.passOn(head, sentAt);
    if (isDone) {
      return;
    }
    if (head.requestId().isEmpty()) {
      request.log().responseWithoutId(endpoint.id(), head.status());
    }
    status = head.status();
    isSuccess = head.isSuccess();
    endsWithConnection =
        !method.equals(HttpMethod.HEAD)
            && status != ErrorResponses.NO_CONTENT
            && status != ErrorResponses.NOT_MODIFIED
            && !HttpUtil.isContentLengthSet(response)
            && !HttpUtil.isTransferEncodingChunked(response);
    isNotRun = head.isNotRun();
    defect = isNotRun ? null : defectOf(head, response);
    if (isNotRun || defect != null) {
      return;
    }
    request.relay().onHead(response, head.isSuccess());
  }

  private @Nullable String defectOf(EndpointResponseHead head, HttpResponse response) {
    if (head.isEncoded()) {
      return "the answer has a content encoding";
    }
    if (head.isSuccess() && head.hasDigest()) {
      return request.relay().canContinueWith(response) ? null : "a success of another media type";
    }
    if (head.isSuccess()) {
      return "a success without digest";
    }
    if (ErrorResponses.implyNotRun(head.status())) {
      return "status " + head.status() + " without a statement that it did not run";
    }
    boolean isFailure = head.status() >= ErrorResponses.INTERNAL_SERVER_ERROR;
    boolean isReplaceable = isFailure && request.mayRetry();
    // No failure of any kind is part of a stream that has begun.
    return isReplaceable || request.relay().hasStarted() ? "status " + head.status() : null;
  }

  @Override
  public void onContent(ByteBuf content) {
    if (isDone) {
      return;
    }
    if (isNotRun || defect != null) {
      discard(content);
      return;
    }
    if (!hasContent) {
      hasContent = true;
      slot.firstEventReceived();
    }
    ResponseRelay relay = request.relay();
    long before = relay.progress();
    EventDecision decision = relay.onContent(content);
    if (relay.progress() > before) {
      lastProgressAt = request.context().loop().nanoTime();
      hasStarted = true;
    }
    if (decision.isFaulty()) {
      cancel();
      endFaulty(decision, relay.lastReceivedId());
      return;
    }
    EndpointExchange open = exchange;
    if (open != null && !request.relay().isWritable()) {
      open.setReading(false);
    }
  }

  /** Ends an attempt whose events can't be used; those before the faulty one were passed on. */
  private void endFaulty(EventDecision decision, long receivedId) {
    long lowestNextId = request.relay().lowestNextId();
    request.log().faultyStream(endpoint.id(), decision, lowestNextId, receivedId);
    request.failed(this, decision.reason());
  }

  /** Reads on only to reuse the connection, which a body without end does not allow. */
  private void discard(ByteBuf content) {
    discardedBytes += content.readableBytes();
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      cancel();
      endUnusable();
    }
  }

  /** Ends an attempt whose response is not relayed. */
  private void endUnusable() {
    if (isNotRun) {
      request.notRun(this, status);
    } else {
      request.failed(this, String.valueOf(defect));
    }
  }

  @Override
  public void onForeignBytes(long position, String statedId, boolean isWholeCopy) {
    request.log().foreignBytes(endpoint.id(), position, statedId, isWholeCopy);
  }

  /** Tells whether the endpoint has not reset the connection that ended the response. */
  void checkReset(Consumer<Boolean> listener) {
    EndpointExchange open = exchange;
    if (open == null) {
      listener.accept(true);
    } else {
      open.checkReset(listener);
    }
  }

  @Override
  public void onEnd() {
    if (isDone) {
      return;
    }
    finish();
    if (isNotRun || defect != null) {
      cancel();
      endUnusable();
    } else if (request.relay().endsMidEvent()) {
      wasBrokenOff = true;
      cancel();
      endFaulty(EventDecision.TRUNCATED, -1);
    } else if (endsWithConnection && endedBeforeFirstEvent() && !request.relay().hasStarted()) {
      wasBrokenOff = true;
      cancel();
      request.failed(this, "the stream ended with its connection before its first event");
    } else {
      request.responseEnded(this);
    }
  }

  private void fail(String reason) {
    cancel();
    request.failed(this, reason);
  }

  @Override
  public void onFailure(ExchangeFailure failure) {
    if (isDone) {
      return;
    }
    finish();
    hasPathFailed = failure.isPathSuspect();
    if (failure.isUnsent()) {
      if (!hasPathFailed) {
        request.context().crashes().unreachable(endpoint);
      }
      request.connectFailed(this, failure.reason());
    } else if (isNotRun) {
      request.notRun(this, status);
    } else {
      wasBrokenOff = failure.isConnectionEnd();
      request.failed(this, failure.reason());
    }
  }
}
