package io.samphiredyke.gateway.request;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests that a host has read and not answered, and their end when the host stops.
 *
 * <p>A request that waits, for a slot of this or another host's scheduler, for a pause of its
 * endpoints or for the origin of its stream, is refused as soon as it can no longer be served
 * before the process ends, so that its caller turns to another host in time.
 */
public final class RequestsInProgress {

  private static final double NANOS_PER_MILLI = 1e6;

  private final Set<ActiveRequest> requests = new LinkedHashSet<>();
  private final RunTimeEstimator runTimes = new RunTimeEstimator();
  private boolean isStopping;
  private long endsAt;

  RequestsInProgress() {}

  void add(ActiveRequest request) {
    requests.add(request);
  }

  void remove(ActiveRequest request) {
    requests.remove(request);
  }

  /** Records how long an endpoint took to run a request. */
  void ran(String route, long nanos) {
    runTimes.observe(route, nanos / NANOS_PER_MILLI);
  }

  /** Sets when the process ends, in nanoseconds of the control loop's clock. */
  public void stopAt(long processEndsAt) {
    isStopping = true;
    endsAt = processEndsAt;
  }

  /** Returns whether a request that is sent now is expected to end before the process does. */
  boolean canServe(String route, long now) {
    double runNanos = runTimes.upperMillis(route) * NANOS_PER_MILLI;
    return !isStopping || now + (long) runNanos - endsAt < 0;
  }

  /** Refuses the waiting requests that can't be served before the process ends. */
  public void refuseUnservable(long now) {
    for (ActiveRequest request : List.copyOf(requests)) {
      if (!canServe(request.route().name(), now)) {
        request.refuseBeforeStop();
      }
    }
  }

  /** Ends all requests: refuses those that wait, and reports those that run as unknown. */
  public void endAll() {
    List.copyOf(requests).forEach(ActiveRequest::endBeforeStop);
  }

  /** Returns the number of requests. */
  public int size() {
    return requests.size();
  }
}
