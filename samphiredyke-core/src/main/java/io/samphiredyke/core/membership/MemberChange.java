package io.samphiredyke.core.membership;

import org.jspecify.annotations.Nullable;

/**
 * Change of a member in the local view.
 *
 * @param member the member after the change
 * @param old the state before the change, null if the incarnation was unknown
 * @param current the state after the change
 * @param cause cause of the change
 */
public record MemberChange(
    Member member, @Nullable MemberState old, MemberState current, ChangeCause cause) {}
