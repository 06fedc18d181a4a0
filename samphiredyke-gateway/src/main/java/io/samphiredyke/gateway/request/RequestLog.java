package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.metrics.GatewayMetrics;

/** Lines and counters of one request; each line bears the request's id. */
final class RequestLog {

  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final String requestId;
  private final String route;

  RequestLog(DecisionLog log, GatewayMetrics metrics, String requestId, String route) {
    this.log = log;
    this.metrics = metrics;
    this.requestId = requestId;
    this.route = route;
  }

  /**
   * Notes that the request goes to an endpoint.
   *
   * @param grantedBy host whose scheduler decided
   * @param afterEvent event after which a stream continues, or -1
   */
  void sent(
      EndpointRecord endpoint,
      String grantedBy,
      long waitedMillis,
      long leftMillis,
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
        "by",
        grantedBy,
        "waited_ms",
        waitedMillis,
        "left_ms",
        leftMillis,
        "attempt",
        attempt,
        "after_event",
        afterEvent);
  }

  void repeated(String reason) {
    log.event("repeat", "id", requestId, "reason", reason);
    metrics.repeated();
  }

  void answered(int status, String endpointId, long millis) {
    log.event("answered", "id", requestId, "status", status, "endpoint", endpointId, "ms", millis);
    metrics.answered(route, millis);
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

  void failed(int status, String reason, long millis, int runs, long lastEvent) {
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
        runs,
        "last_event",
        lastEvent);
    metrics.failed(reason);
  }

  void callerGone(long millis, boolean wasSent) {
    log.event("caller_gone", "id", requestId, "ms", millis, "sent", wasSent);
  }
}
