package io.samphiredyke.core.broker;

/**
 * Refusal of a slot request: the request must not be dispatched to the endpoint with this attempt.
 *
 * @param request the request that was refused
 * @param reason why it was refused
 * @param retryAfterNanos time after which a new request may be granted, nanoseconds; 0 if the
 *     refusal is not caused by load
 */
public record SlotRefusal(SlotRequest request, RefusalReason reason, long retryAfterNanos)
    implements BrokerDecision {}
