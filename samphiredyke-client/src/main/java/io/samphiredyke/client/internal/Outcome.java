package io.samphiredyke.client.internal;

import io.samphiredyke.client.ExecutionStatus;
import org.jspecify.annotations.Nullable;

/** The outcome of a request according to a response or a problem document in a stream. */
enum Outcome {
  /** The response is the result of the request. */
  RESPONSE,
  /** The request was not executed and may be retried with a new id. */
  RETRY_WITH_NEW_ID,
  /** The request was not executed, and a retry would fail in the same way. */
  REJECTED,
  /** The outcome is not known yet; retry with the same id. */
  RETRY_WITH_SAME_ID,
  /** Another host serves the request. */
  REDIRECTED,
  /** It is unknown whether the request was executed. */
  UNKNOWN,
  /** The request was executed, but its response cannot be obtained. */
  FAILED;

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int GONE = 410;
  private static final int MISDIRECTED = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  /** Returns whether the host served the request, or stated that it was not executed. */
  boolean isDecided() {
    return this == RESPONSE || this == RETRY_WITH_NEW_ID || this == REJECTED;
  }

  /**
   * Classifies a response.
   *
   * @param kind the expected format of the response
   * @param status the HTTP status
   * @param executionStatus the execution status in its problem document, or null
   * @param hasRetryAfter whether it has a {@code Retry-After} header
   */
  static Outcome of(
      EncodedRequest.ResponseKind kind,
      int status,
      @Nullable ExecutionStatus executionStatus,
      boolean hasRetryAfter) {
    if (status == MISDIRECTED) {
      return REDIRECTED;
    }
    if (status == ACCEPTED) {
      return RETRY_WITH_SAME_ID;
    }
    if (executionStatus != null) {
      return ofProblem(status, executionStatus, hasRetryAfter);
    }
    if (status == OK || kind == EncodedRequest.ResponseKind.PLAIN) {
      return RESPONSE;
    }
    return status >= SERVER_ERROR || status == TOO_MANY_REQUESTS ? RETRY_WITH_SAME_ID : UNKNOWN;
  }

  /**
   * Classifies a problem document. An unknown execution status leads to a retry if the host is
   * unavailable, because such a host cannot rule out that another host executed the request.
   */
  private static Outcome ofProblem(
      int status, ExecutionStatus executionStatus, boolean hasRetryAfter) {
    if (executionStatus == ExecutionStatus.NOT_EXECUTED) {
      boolean retryable = status == TOO_MANY_REQUESTS || status == GONE || status >= SERVER_ERROR;
      return retryable ? RETRY_WITH_NEW_ID : REJECTED;
    }
    boolean notYetKnown = executionStatus == ExecutionStatus.UNKNOWN && status == UNAVAILABLE;
    if (hasRetryAfter || notYetKnown) {
      return RETRY_WITH_SAME_ID;
    }
    return executionStatus == ExecutionStatus.EXECUTED ? FAILED : UNKNOWN;
  }
}
