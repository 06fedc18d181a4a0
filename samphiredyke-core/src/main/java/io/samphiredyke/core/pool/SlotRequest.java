package io.samphiredyke.core.pool;

import java.util.Set;

/**
 * A request that asks for a place at an endpoint. Times are nanoseconds of the scheduler's clock.
 *
 * @param id number that is unique over all hosts and time
 * @param requester host that holds the request
 * @param service service that must serve it
 * @param rank importance, 0 first
 * @param value benefit of serving it against the mean of its kind
 * @param estimate what it asks of an endpoint
 * @param customer customer whose quota pays, empty for none
 * @param quotaUnits units that it takes of the quota
 * @param isRetry whether an endpoint has received the request before
 * @param excluded endpoints that must not get it
 * @param objectiveDeadline when its first event or its answer is due to be on time
 * @param startDeadline latest start that still serves the caller
 */
public record SlotRequest(
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
    long startDeadline) {}
