package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.WorkEstimate;
import java.util.Set;

/**
 * What a request asks of the scheduler. Times are nanoseconds of this process's clock.
 *
 * @param service service that must serve it
 * @param rank importance, 0 first
 * @param value benefit against the mean of its route
 * @param work expected work
 * @param customer customer whose quota pays, empty for none
 * @param quotaUnits units that it takes of the quota
 * @param isRepeat whether an endpoint has received it before
 * @param excluded endpoints that must not get it
 * @param dueAt when its first event or its answer is due
 * @param patienceUntil latest start that still serves the caller
 */
public record SlotRequirements(
    String service,
    int rank,
    double value,
    WorkEstimate work,
    String customer,
    long quotaUnits,
    boolean isRepeat,
    Set<String> excluded,
    long dueAt,
    long patienceUntil) {}
