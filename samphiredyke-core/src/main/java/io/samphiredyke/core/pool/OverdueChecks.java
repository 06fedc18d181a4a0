package io.samphiredyke.core.pool;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/**
 * Times at which granted requests should have started.
 *
 * <p>Load pattern: an endpoint that turns slow. Its requests are overdue long before they end, and
 * each overdue one counts against the endpoint.
 */
final class OverdueChecks {

  /** A check whether a request has started. */
  record Check(long at, EndpointLoad endpoint, RunningRequest request) {}

  private static final double NANOS_PER_MILLI = 1e6;

  /** Multiple of its expected time after which a request that has not started is overdue. */
  private static final double OVERDUE_RATIO = 1.5;

  /** Shortest time after which a request is overdue; covers pauses of busy hosts. */
  private static final double MIN_OVERDUE_MILLIS = 20;

  private final PriorityQueue<Check> checks =
      new PriorityQueue<>(Comparator.comparingLong(Check::at));

  void granted(EndpointLoad endpoint, RunningRequest request) {
    double millis = Math.max(MIN_OVERDUE_MILLIS, request.firstEventMillis * OVERDUE_RATIO);
    checks.add(new Check(request.grantedAt + (long) (millis * NANOS_PER_MILLI), endpoint, request));
  }

  /** Schedules another check of a request that is still overdue. */
  void repeat(Check check, long now) {
    long elapsed = now - check.request().grantedAt;
    long next = now + (long) (elapsed * (OVERDUE_RATIO - 1));
    checks.add(new Check(next, check.endpoint(), check.request()));
  }

  /** Removes and returns the next check that is due, or null. */
  @Nullable Check pollDue(long now) {
    Check first = checks.peek();
    return first != null && first.at() <= now ? checks.poll() : null;
  }
}
