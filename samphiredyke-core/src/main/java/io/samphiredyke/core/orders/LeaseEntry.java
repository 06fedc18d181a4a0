package io.samphiredyke.core.orders;

import org.jspecify.annotations.Nullable;

/**
 * A record of the orders stream at its place in the log. At most one of its values is set; none is
 * if it can't be decoded.
 *
 * @param offset the log offset
 * @param lease a change or renewal of leases
 * @param snapshot a snapshot
 */
public record LeaseEntry(
    long offset, @Nullable LeaseRecord lease, @Nullable LeaseSnapshot snapshot) {}
