package io.samphiredyke.core.broker;

/**
 * Grant of a previous broker that a requester still holds.
 *
 * @param request the request that was granted
 * @param grantedAt time at which the requester received the grant
 * @param prefilling whether the first token has not been received yet
 */
public record HeldGrant(SlotRequest request, long grantedAt, boolean prefilling) {}
