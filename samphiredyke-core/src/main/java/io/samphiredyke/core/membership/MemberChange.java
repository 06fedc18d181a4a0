package io.samphiredyke.core.membership;

import org.jspecify.annotations.Nullable;

/**
 * Change of a member in the local view.
 *
 * @param member the member after the change
 * @param old state before, null if the incarnation was unknown
 * @param current state after
 * @param cause why
 */
public record MemberChange(
    Member member, @Nullable MemberState old, MemberState current, ChangeCause cause) {}
