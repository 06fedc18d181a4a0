package io.samphiredyke.core.broker;

/**
 * A grant of a former broker that an entry still holds.
 *
 * @param request the claim that was granted
 * @param grantedAt time at which the entry received the grant
 * @param prefilling whether the first token has not been received
 */
public record HeldGrant(SlotRequest request, long grantedAt, boolean prefilling) {}
