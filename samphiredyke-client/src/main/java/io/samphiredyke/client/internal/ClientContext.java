package io.samphiredyke.client.internal;

import io.samphiredyke.client.ClientOptions;

/** The state that the requests of a client share. */
public record ClientContext(
    ConnectionPools connectionPools,
    TicketLeaseCache leaseCache,
    RetryBudget retryBudget,
    ClientOptions options,
    String customerKey) {}
