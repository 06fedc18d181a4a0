package io.samphiredyke.client.internal;

import io.samphiredyke.client.ExecutionStatus;
import org.jspecify.annotations.Nullable;

/** What an answer that isn't a stream means for its request. */
enum Verdict {
  /** It is the answer. */
  ANSWER,
  /** The request didn't run; the same may be asked under a new id. */
  RETRY_AS_NEW,
  /** The request didn't run, and asking again would end the same way. */
  REFUSED,
  /** It isn't decided yet; ask again under the same id. */
  ASK_AGAIN,
  /** Another address serves the request. */
  REDIRECTED,
  /** It can't be told whether the request ran. */
  UNKNOWN,
  /** The request ran, and its answer can't be had. */
  FAILED;

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int GONE = 410;
  private static final int MISDIRECTED = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  /**
   * Judges an answer.
   *
   * @param kind how the answer is to be read
   * @param status its HTTP status
   * @param ran what its problem document states, null if it states nothing
   * @param hasRetryAfter whether it says when to ask again
   */
  static Verdict of(
      Call.Kind kind, int status, @Nullable ExecutionStatus ran, boolean hasRetryAfter) {
    if (status == MISDIRECTED) {
      return REDIRECTED;
    }
    if (status == ACCEPTED) {
      return ASK_AGAIN;
    }
    if (ran != null) {
      return ofProblem(status, ran, hasRetryAfter);
    }
    if (status == OK || kind == Call.Kind.PLAIN) {
      return ANSWER;
    }
    return status >= SERVER_ERROR || status == TOO_MANY_REQUESTS ? ASK_AGAIN : UNKNOWN;
  }

  /** A host that is unavailable and knows nothing of the request doesn't speak for the others. */
  private static Verdict ofProblem(int status, ExecutionStatus ran, boolean hasRetryAfter) {
    if (ran == ExecutionStatus.NOT_EXECUTED) {
      boolean mayPass = status == TOO_MANY_REQUESTS || status == GONE || status >= SERVER_ERROR;
      return mayPass ? RETRY_AS_NEW : REFUSED;
    }
    boolean undecided = ran == ExecutionStatus.UNKNOWN && status == UNAVAILABLE;
    if (hasRetryAfter || undecided) {
      return ASK_AGAIN;
    }
    return ran == ExecutionStatus.EXECUTED ? FAILED : UNKNOWN;
  }
}
