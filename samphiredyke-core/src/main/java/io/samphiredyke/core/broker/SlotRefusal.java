package io.samphiredyke.core.broker;

/**
 * The request must not be dispatched to the endpoint under this claim.
 *
 * @param request the claim that was refused
 * @param reason why it was refused
 * @param retryAfterNanos time after which another claim may have better luck, nanoseconds
 */
public record SlotRefusal(SlotRequest request, RefusalReason reason, long retryAfterNanos)
    implements BrokerDecision {}
