package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.scheduling.CrashWatch;
import io.samphiredyke.gateway.scheduling.SlotHandle;
import io.samphiredyke.platform.EndpointResponseHead;

/**
 * Passes on what an endpoint states about itself in the head of a response, whatever becomes of the
 * response.
 */
final class AttemptStatements {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final RequestService.Context context;
  private final EndpointRecord endpoint;
  private final SlotHandle slot;

  AttemptStatements(RequestService.Context context, EndpointRecord endpoint, SlotHandle slot) {
    this.context = context;
    this.endpoint = endpoint;
    this.slot = slot;
  }

  /**
   * Passes on the statements of a head.
   *
   * @param sentAt when the request was sent, in nanoseconds of the control loop's clock
   */
  void passOn(EndpointResponseHead head, long sentAt) {
    context
        .statements()
        .limitStated(
            endpoint.id(), head.limitPerSecond(), head.requestId(), sentAt, slot.grantedBy());
    context
        .statements()
        .brittlenessStated(
            endpoint.id(), head.toleratedRefusals(), head.requestId(), sentAt, slot.grantedBy());
    if (head.isLeaving()) {
      context.statements().leavingStated(endpoint);
    }
    if (head.pauseMillis() > 0) {
      pauseEndpoint(head);
    }
    passOnAvailability(head, sentAt);
  }

  private void passOnAvailability(EndpointResponseHead head, long sentAt) {
    CrashWatch crashes = context.crashes();
    if (crashes.isEmpty()) {
      return;
    }
    if (head.status() == ErrorResponses.MISDIRECTED) {
      crashes.unreachable(endpoint);
    } else {
      crashes.responded(endpoint, sentAt);
    }
  }

  private void pauseEndpoint(EndpointResponseHead head) {
    long until = context.loop().nanoTime() + head.pauseMillis() * NANOS_PER_MILLI;
    if (context.pauses().pause(endpoint, until)) {
      context
          .log()
          .event(
              "endpoint_paused",
              "endpoint",
              endpoint.id(),
              "millis",
              head.pauseMillis(),
              "source",
              head.requestId());
    }
  }
}
