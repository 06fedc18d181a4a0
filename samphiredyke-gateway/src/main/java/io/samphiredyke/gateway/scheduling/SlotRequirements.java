package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.SlotRequest;
import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.quarantine.RequestFingerprint;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Parameters of a slot acquisition. Times are nanoseconds of this process's monotonic clock.
 *
 * @param service service that must serve the request
 * @param route route by which the request came
 * @param rank rank, 0 is the highest
 * @param value benefit of serving the request, relative to the mean of its route
 * @param estimate expected work
 * @param customer customer whose quota is charged, empty for none
 * @param quotaUnits units charged to the quota
 * @param isRetry whether an endpoint has received the request before
 * @param excluded ids of endpoints that must not be selected
 * @param isolated the request, if it must run beside no other isolated one, because it may crash
 *     endpoints
 * @param objectiveDeadline when the first event or the plain response is due
 * @param startDeadline latest start that still serves the caller
 */
public record SlotRequirements(
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

  SlotRequest toSlotRequest(long id, String requester) {
    return new SlotRequest(
        id,
        requester,
        service,
        route,
        rank,
        value,
        estimate,
        customer,
        quotaUnits,
        isRetry,
        excluded,
        isolated,
        objectiveDeadline,
        startDeadline);
  }
}
