package io.samphiredyke.gateway.request;

import io.netty.buffer.ByteBufUtil;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.Route;
import io.samphiredyke.gateway.frontend.CallerRequest;
import io.samphiredyke.gateway.scheduling.CrashWatch;
import io.samphiredyke.gateway.upstream.OutgoingRequest;
import io.samphiredyke.platform.EndpointRequestHead;
import org.jspecify.annotations.Nullable;

/**
 * Content of a request, by which it is recognized if it crashes endpoints and comes again. The
 * fingerprint is computed only if it is needed.
 */
final class RequestContent {

  private final CrashWatch crashes;
  private final CallerRequest request;
  private final String caller;
  private final boolean expectsEvents;
  private @Nullable RequestFingerprint fingerprint;
  private boolean isTrial;

  /** Creates the content of a request whose body is still available. */
  RequestContent(
      CrashWatch crashes, CallerRequest request, @Nullable CustomerSpec customer, Route route) {
    this.crashes = crashes;
    this.request = request;
    this.caller = customer == null ? "" : customer.name();
    this.expectsEvents = route.kind().isStream();
  }

  /**
   * Returns the request for an endpoint.
   *
   * @param remainingMillis time that the caller has left
   * @param lastEventId event after which a stream is continued, or -1
   */
  OutgoingRequest outgoing(
      String requestId, String endpointId, long remainingMillis, long lastEventId) {
    return new OutgoingRequest(
        requestId,
        request.head().method(),
        request.head().uri(),
        () ->
            EndpointRequestHead.create(
                request.head().headers(), caller, endpointId, remainingMillis, lastEventId),
        request.body(),
        expectsEvents);
  }

  RequestFingerprint fingerprint() {
    RequestFingerprint known = fingerprint;
    if (known == null) {
      known =
          RequestFingerprint.of(
              caller,
              request.head().method().name(),
              request.head().uri(),
              ByteBufUtil.getBytes(request.body()));
      fingerprint = known;
    }
    return known;
  }

  /** Returns the refusal of a request that crashes endpoints, null if it may be sent to one. */
  @Nullable SlotRefusal quarantineRefusal() {
    boolean isAdmitted = isTrial || crashes.quarantine().size() == 0;
    return isAdmitted ? null : crashes.refusalOf(fingerprint());
  }

  /** Makes the request a trial if it is quarantined and about to be sent. */
  void sending() {
    if (!isTrial && crashes.quarantine().size() > 0) {
      isTrial = crashes.tryTrial(fingerprint());
    }
  }

  /** Ends a trial that has shown nothing. */
  void close() {
    if (isTrial) {
      isTrial = false;
      crashes.endTrial(fingerprint());
    }
  }

  /** Returns whether a decision on the request is imminent, for which it has to wait. */
  boolean isUndecided() {
    return !crashes.isEmpty() && crashes.isUndecided(fingerprint());
  }

  /** Returns the fingerprint if the request must run beside no other suspected one, else null. */
  @Nullable RequestFingerprint isolated() {
    boolean isIsolated = !crashes.isEmpty() && crashes.mustBeIsolated(fingerprint());
    return isIsolated ? fingerprint() : null;
  }

  /** Records that an endpoint ended the connection of an attempt. */
  void brokenOff(EndpointAttempt attempt, String requestId) {
    boolean isEvidence =
        crashes.crashed(attempt.endpoint(), fingerprint(), attempt.sentAt(), requestId);
    if (isTrial && isEvidence) {
      isTrial = false;
      crashes.trialFailed(fingerprint(), requestId);
    }
  }

  /**
   * Records that the request was served.
   *
   * @param isSuccess whether the endpoint answered it without an error
   */
  void served(boolean isSuccess) {
    if (!crashes.isEmpty()) {
      isTrial &= !crashes.served(fingerprint(), isSuccess);
    }
  }
}
