package io.samphiredyke.bench.load;

import java.util.List;

/**
 * A promise that was not kept.
 *
 * @param kind which promise
 * @param request the number of the request in the schedule
 * @param service the service
 * @param ids the request ids used
 * @param detail what was seen
 */
record Violation(Kind kind, int request, String service, List<String> ids, String detail) {

  /** Which promise was not kept. */
  enum Kind {
    /** Told success, but never executed. */
    LOST,
    /** Told success with another answer than its own whole one. */
    WRONG_ANSWER,
    /** Executed more than once. */
    DOUBLED,
    /** Executed in a data centre that the service doesn't permit. */
    MISPLACED,
    /** Told "not run", but executed. */
    FALSE_NOT_RUN
  }
}
