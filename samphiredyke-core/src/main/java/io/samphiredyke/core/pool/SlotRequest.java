package io.samphiredyke.core.pool;

import io.samphiredyke.core.quarantine.RequestFingerprint;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A request for a slot at an endpoint of a service. Times are nanoseconds of the scheduler's clock.
 *
 * @param id id, unique across all hosts and over time
 * @param requester host that received the request and that sends it to the endpoint
 * @param service service that must serve it
 * @param route route by which it came, empty if unknown
 * @param rank priority; 0 is the highest
 * @param value benefit of serving it, relative to the mean of its class
 * @param estimate estimated work for the endpoint
 * @param customer customer whose quota is charged, empty for none
 * @param quotaUnits units that it takes from the quota
 * @param isRetry whether this is a retry, that is, an endpoint has already received the request
 * @param excluded ids of the endpoints that must not get it
 * @param isolated the request, if it must run beside no other isolated one, because it may crash
 *     endpoints
 * @param objectiveDeadline time by which its first event, or its response, meets the latency
 *     objective
 * @param startDeadline latest start that is still useful to the caller
 */
public record SlotRequest(
    long id,
    String requester,
    String service,
    String route,
    int rank,
    double value,
    WorkEstimate estimate,
    String customer,
    long quotaUnits,
    boolean isRetry,
    Set<String> excluded,
    @Nullable RequestFingerprint isolated,
    long objectiveDeadline,
    long startDeadline) {

  /** Creates a request of an unknown route for a slot beside any other requests. */
  public SlotRequest(
      long id,
      String requester,
      String service,
      int rank,
      double value,
      WorkEstimate estimate,
      String customer,
      long quotaUnits,
      boolean isRetry,
      Set<String> excluded,
      long objectiveDeadline,
      long startDeadline) {
    this(
        id,
        requester,
        service,
        "",
        rank,
        value,
        estimate,
        customer,
        quotaUnits,
        isRetry,
        excluded,
        null,
        objectiveDeadline,
        startDeadline);
  }

  /** Returns whether the request must run beside no other one for which this holds. */
  boolean isIsolated() {
    return isolated != null;
  }
}
