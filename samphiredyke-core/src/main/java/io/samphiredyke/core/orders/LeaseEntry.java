package io.samphiredyke.core.orders;

import org.jspecify.annotations.Nullable;

/**
 * Record of the orders stream with its offset in the log. At most one of the two values is set;
 * both are null if the record cannot be decoded.
 *
 * @param offset offset in the log
 * @param lease a change or renewal of leases, or null
 * @param snapshot a snapshot, or null
 */
public record LeaseEntry(
    long offset, @Nullable LeaseRecord lease, @Nullable LeaseSnapshot snapshot) {}
