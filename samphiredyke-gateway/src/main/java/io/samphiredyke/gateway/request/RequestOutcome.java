package io.samphiredyke.gateway.request;

import io.samphiredyke.gateway.frontend.CallerRequest;

/** Ends a request: reports the outcome in log and metrics, and to the caller. */
final class RequestOutcome {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final RequestService.Context context;
  private final CallerRequest request;
  private final RequestContent content;
  private final ResponseRelay relay;
  private final RequestLog log;
  private final Runnable onEnd;

  /**
   * Creates an outcome.
   *
   * @param onEnd releases what the request holds; runs before an error response is sent
   */
  RequestOutcome(
      RequestService.Context context,
      CallerRequest request,
      RequestContent content,
      ResponseRelay relay,
      RequestLog log,
      Runnable onEnd) {
    this.context = context;
    this.request = request;
    this.content = content;
    this.relay = relay;
    this.log = log;
    this.onEnd = onEnd;
  }

  /** Returns the time since the request arrived, in milliseconds. */
  long millisSinceArrival() {
    return (context.loop().nanoTime() - request.arrivedAt()) / NANOS_PER_MILLI;
  }

  /** Ends the response, which has been relayed as a whole. */
  void completed(EndpointAttempt serving) {
    relay.end();
    content.served(serving.status() < ErrorResponses.INTERNAL_SERVER_ERROR);
    log.completed(serving.status(), serving, millisSinceArrival());
    onEnd.run();
  }

  /** Refuses the request, which no endpoint has run. */
  void refused(int status, String reason, long retryAfterMillis) {
    log.refused(status, reason, millisSinceArrival(), retryAfterMillis);
    onEnd.run();
    ErrorResponses.send(request.writer(), status, reason, false, retryAfterMillis);
  }

  /** Reports a request that an endpoint may have run; a response that has begun breaks off. */
  void failed(int status, String reason, int possibleExecutions, String lastEndpointId) {
    log.failed(
        status,
        reason,
        millisSinceArrival(),
        possibleExecutions,
        relay.lastEventId(),
        lastEndpointId,
        content.fingerprint());
    onEnd.run();
    if (relay.hasStarted()) {
      request.writer().abort();
    } else {
      ErrorResponses.send(request.writer(), status, reason, true, -1);
    }
  }
}
