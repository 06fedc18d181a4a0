package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.Route;
import io.samphiredyke.core.serving.StreamOrigin;
import io.samphiredyke.platform.CallerRequestHead;
import org.jspecify.annotations.Nullable;

/** Keeps a stream at the software version that began it, in all attempts and take-ups. */
final class StreamContinuity {

  private final RequestService.Context context;
  private final CallerRequestHead head;
  private final Route route;
  private final EndpointEligibility eligibility;
  private final RequestLog log;

  StreamContinuity(
      RequestService.Context context,
      CallerRequestHead head,
      Route route,
      EndpointEligibility eligibility,
      RequestLog log) {
    this.context = context;
    this.head = head;
    this.route = route;
    this.eligibility = eligibility;
    this.log = log;
  }

  /** Returns whether the caller continues a stream that another request has begun. */
  boolean isTakeUp() {
    return head.isTakeUp() && route.kind().isStream();
  }

  /**
   * Looks for the version that began the stream; one of the listeners is called during this call or
   * later.
   */
  void findOrigin(Runnable onFound, Runnable onUnknown) {
    new OriginLookup(
            context,
            head.resumedRequestId(),
            route,
            (origin, isKnown) -> found(origin, isKnown, onFound, onUnknown))
        .start();
  }

  private void found(
      @Nullable StreamOrigin origin, boolean isKnown, Runnable onFound, Runnable onUnknown) {
    log.takenUp(head.resumedRequestId(), origin, isKnown);
    if (origin == null) {
      onUnknown.run();
      return;
    }
    eligibility.restrictTo(origin);
    onFound.run();
  }

  /** Called before the first event of a stream is passed on. */
  void begins(EndpointRecord endpoint) {
    StreamOrigin origin = new StreamOrigin(endpoint.service(), endpoint.version());
    eligibility.restrictTo(origin);
    if (!head.isTakeUp()) {
      context.streams().began(head.requestId(), origin);
    }
  }
}
