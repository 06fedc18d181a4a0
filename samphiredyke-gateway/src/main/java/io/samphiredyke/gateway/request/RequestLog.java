package io.samphiredyke.gateway.request;

import io.samphiredyke.core.liveness.LivenessVerdict;
import io.samphiredyke.core.pool.PromptPart;
import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.StreamOrigin;
import io.samphiredyke.core.stream.EventDecision;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.metrics.GatewayMetrics;
import io.samphiredyke.platform.CallerRequestHead;
import java.util.List;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Log lines and metrics of one request. Each line contains the request id. */
final class RequestLog {

  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final String requestId;
  private final String route;

  /** Parts in one line; a head holds thousands. */
  private static final int MAX_LOGGED_PARTS = 64;

  private final List<PromptPart> parts;

  RequestLog(DecisionLog log, GatewayMetrics metrics, CallerRequestHead head, String route) {
    this.log = log;
    this.metrics = metrics;
    this.requestId = head.requestId();
    this.route = route;
    this.parts = head.estimate().parts();
  }

  /**
   * Logs that the request is sent to an endpoint.
   *
   * @param grantedBy peer address of the scheduler that granted the slot
   * @param attempt number of the attempt, from 1
   * @param afterEvent id of the event after which a stream is resumed, or -1
   */
  void sent(
      EndpointRecord endpoint,
      String grantedBy,
      long waitedMillis,
      long remainingMillis,
      int attempt,
      long afterEvent) {
    log.event(
        "sent",
        "id",
        requestId,
        "endpoint",
        endpoint.id(),
        "address",
        endpoint.address(),
        "version",
        endpoint.version(),
        "by",
        grantedBy,
        "waited_ms",
        waitedMillis,
        "left_ms",
        remainingMillis,
        "attempt",
        attempt,
        "after_event",
        afterEvent);
  }

  /**
   * Logs that a caller takes up a stream.
   *
   * @param resumedRequestId id of the attempt that began it, as the caller states
   * @param origin where it began, null if that is not known
   * @param isRecorded whether a host has a record of it, else it follows from the endpoints
   */
  void takenUp(String resumedRequestId, @Nullable StreamOrigin origin, boolean isRecorded) {
    log.event(
        "taken_up",
        "id",
        requestId,
        "resumes",
        resumedRequestId,
        "service",
        origin == null ? "" : origin.service(),
        "version",
        origin == null ? "" : origin.version(),
        "recorded",
        isRecorded);
  }

  /**
   * Logs that an attempt is ended, because what it delivered does not continue the stream.
   *
   * @param lowestNextId lowest id that was acceptable
   * @param receivedId id of the event, or -1 if it has no usable one
   */
  void faultyStream(String endpointId, EventDecision decision, long lowestNextId, long receivedId) {
    log.event(
        "stream_faulty",
        "id",
        requestId,
        "endpoint",
        endpointId,
        "reason",
        decision.reason(),
        "expected_event",
        lowestNextId,
        "event_id",
        receivedId);
    metrics.faultyStream(decision.reason());
  }

  /**
   * Logs that the response to another request arrived instead of the expected one.
   *
   * @param statedId id of the request that it responds to
   */
  void skippedResponse(String endpointId, String statedId, int status) {
    log.event(
        "response_skipped",
        "id",
        requestId,
        "endpoint",
        endpointId,
        "stated_id",
        statedId,
        "status",
        status);
  }

  /**
   * Logs that a body contains the head of another response.
   *
   * @param position where in the body the head begins
   * @param statedId id that the head states, empty if it is cut before it
   * @param isWholeCopy whether a whole copy follows the body, which is complete without it
   */
  void foreignBytes(String endpointId, long position, String statedId, boolean isWholeCopy) {
    String reason = isWholeCopy ? "a whole copy of itself" : foreignBytesReason(statedId);
    log.event(
        "foreign_bytes",
        "id",
        requestId,
        "endpoint",
        endpointId,
        "position",
        position,
        "stated_id",
        statedId,
        "reason",
        reason);
    metrics.foreignBytes(reason);
  }

  private String foreignBytesReason(String statedId) {
    if (statedId.isEmpty()) {
      return "a head that is cut off";
    }
    return statedId.equals(requestId) ? "a copy of itself" : "another response";
  }

  /** Logs that an endpoint responded without stating the id of the request. */
  void responseWithoutId(String endpointId, int status) {
    log.event("response_without_id", "id", requestId, "endpoint", endpointId, "status", status);
  }

  /** Logs that the request is retried; its content relates the failures of several attempts. */
  void retried(String reason, EndpointAttempt previous, RequestFingerprint content) {
    log.event(
        "repeat",
        "id",
        requestId,
        "reason",
        reason,
        "endpoint",
        previous.endpoint().id(),
        "response",
        previous.responseState(),
        "request",
        content,
        "parts",
        promptParts());
    metrics.retried();
    if (previous.endedBeforeFirstEvent()) {
      metrics.retriedBeforeFirstEvent();
    }
  }

  /** Returns ids of the prompt's first parts, by which failures of several requests are related. */
  private String promptParts() {
    return parts.stream()
        .limit(MAX_LOGGED_PARTS)
        .map(part -> Long.toHexString(part.id()))
        .collect(Collectors.joining(","));
  }

  void completed(int status, EndpointAttempt serving, long millis) {
    log.event(
        "answered",
        "id",
        requestId,
        "status",
        status,
        "endpoint",
        serving.endpoint().id(),
        "ms",
        millis,
        "end",
        serving.endsWithConnection() ? "connection" : "framed",
        "peer",
        serving.peer());
    metrics.completed(route, millis);
    if (serving.endsWithConnection()) {
      metrics.endedWithConnection(route);
    }
  }

  /** Logs whether an endpoint lived after a response that ended with its connection. */
  void endChecked(String endpointId, LivenessVerdict verdict, long millis) {
    log.event(
        "end_checked",
        "id",
        requestId,
        "endpoint",
        endpointId,
        "verdict",
        verdict.liveness(),
        "ms",
        millis,
        "reason",
        verdict.reason());
    metrics.endChecked(verdict.liveness().name());
  }

  void refused(int status, String reason, long millis, long retryAfterMillis) {
    log.event(
        "refused",
        "id",
        requestId,
        "status",
        status,
        "reason",
        reason,
        "route",
        route,
        "ms",
        millis,
        "retry_ms",
        retryAfterMillis);
    metrics.refused(reason);
  }

  /**
   * Logs that the request failed after an endpoint may have run it.
   *
   * @param endpointId endpoint of the last attempt, empty if none was sent
   */
  void failed(
      int status,
      String reason,
      long millis,
      int possibleExecutions,
      long lastEvent,
      String endpointId,
      RequestFingerprint content) {
    log.event(
        "failed",
        "id",
        requestId,
        "status",
        status,
        "reason",
        reason,
        "route",
        route,
        "ms",
        millis,
        "runs",
        possibleExecutions,
        "last_event",
        lastEvent,
        "endpoint",
        endpointId,
        "request",
        content,
        "parts",
        promptParts());
    metrics.failed(reason);
  }

  void callerDisconnected(long millis, boolean wasSent) {
    log.event("caller_gone", "id", requestId, "ms", millis, "sent", wasSent);
  }
}
