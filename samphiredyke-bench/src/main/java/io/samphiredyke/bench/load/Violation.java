package io.samphiredyke.bench.load;

import java.util.List;

/**
 * Violation of an execution guarantee by one request.
 *
 * @param kind the violated guarantee
 * @param request index of the request in the schedule
 * @param service the service
 * @param ids request ids under which the request was sent
 * @param detail description of the violation
 */
record Violation(Kind kind, int request, String service, List<String> ids, String detail) {

  /** The violated guarantee. */
  enum Kind {
    /** Reported as success, but never executed. */
    LOST,
    /** Reported as success with a response that is incomplete or belongs to another request. */
    WRONG_ANSWER,
    /** Executed more than once. */
    DOUBLED,
    /** Executed in a data centre that the service does not allow. */
    MISPLACED,
    /** Reported as not executed, but executed. */
    FALSE_NOT_RUN
  }
}
