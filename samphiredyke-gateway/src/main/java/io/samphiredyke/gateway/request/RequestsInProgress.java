package io.samphiredyke.gateway.request;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests that a host has read and not answered, and their end when the host stops.
 *
 * <p>A request that waits, for a slot of this or another host's scheduler, for a pause of its
 * endpoints or for the origin of its stream, is refused as soon as it can no longer be served
 * before the process ends, so that its caller turns to another host in time.
 *
 * <p>A request that is read while callers may use the host's address is served if most requests of
 * its route would end in time. Later requests are served only if the slowest ones would.
 */
public final class RequestsInProgress {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Limits and time of reading of a request. */
  private record Entry(RequestDeadlines deadlines, long readAt) {}

  private final Map<ActiveRequest, Entry> requests = new LinkedHashMap<>();
  private final RunTimeEstimator runTimes = new RunTimeEstimator();
  private boolean isStopping;
  private long addressExpiresAt;
  private long endsAt;

  RequestsInProgress() {}

  void add(ActiveRequest request, RequestDeadlines deadlines, long readAt) {
    requests.put(request, new Entry(deadlines, readAt));
  }

  void remove(ActiveRequest request) {
    requests.remove(request);
  }

  /** Records how long an endpoint took to run a request. */
  void ran(String route, long nanos) {
    runTimes.observe(route, nanos / NANOS_PER_MILLI);
  }

  /**
   * Announces the end of the process. Times are in nanoseconds of the control loop's clock.
   *
   * @param callersLeaveAt when callers no longer use the address of this host
   */
  public void stopAt(long callersLeaveAt, long processEndsAt) {
    isStopping = true;
    addressExpiresAt = callersLeaveAt;
    endsAt = processEndsAt;
  }

  /** Returns whether a request that is sent now ends before the process does. */
  boolean canServe(ActiveRequest request, long now) {
    if (!isStopping) {
      return true;
    }
    double millisLeft = (endsAt - now) / NANOS_PER_MILLI;
    String route = request.route().name();
    Entry entry = requests.get(request);
    if (entry == null || now - addressExpiresAt < 0) {
      return runTimes.upperMillis(route) < millisLeft;
    }
    boolean timesOutBefore = entry.deadlines().deadline() - endsAt < 0;
    boolean isLate = entry.readAt() - addressExpiresAt >= 0;
    double runMillis = runTimes.slowestMillis(route);
    if (!isLate && Double.isFinite(runMillis)) {
      runMillis = runTimes.upperMillis(route);
    }
    return timesOutBefore || runMillis < millisLeft;
  }

  /** Refuses the waiting requests that can't be served before the process ends. */
  public void refuseUnservable(long now) {
    for (ActiveRequest request : List.copyOf(requests.keySet())) {
      if (!canServe(request, now)) {
        request.refuseBeforeStop();
      }
    }
  }

  /** Ends all requests: refuses those that wait, and reports those that run as unknown. */
  public void endAll() {
    // The end of a request may start the next one of its connection.
    while (!requests.isEmpty()) {
      List.copyOf(requests.keySet()).forEach(ActiveRequest::endBeforeStop);
    }
  }

  /** Returns the number of requests. */
  public int size() {
    return requests.size();
  }
}
