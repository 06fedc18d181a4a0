package io.samphiredyke.core.pool;

import java.util.Set;

/**
 * A request that asks for a place at an endpoint. Times are nanoseconds of the scheduler's clock.
 *
 * @param id number that is unique over all hosts and time
 * @param owner host that holds the request
 * @param service service that must serve it
 * @param rank importance, 0 first
 * @param value benefit of serving it against the mean of its kind
 * @param work what it asks of an endpoint
 * @param customer customer whose quota pays, empty for none
 * @param quotaUnits units that it takes of the quota
 * @param isRepeat whether an endpoint has received the request before
 * @param excluded endpoints that must not get it
 * @param dueAt when its first event or its answer is due to be on time
 * @param patienceUntil latest start that still serves the caller
 */
public record Claim(
    long id,
    String owner,
    String service,
    int rank,
    double value,
    Work work,
    String customer,
    long quotaUnits,
    boolean isRepeat,
    Set<String> excluded,
    long dueAt,
    long patienceUntil) {}
