package io.samphiredyke.net.admin;

/**
 * The counts of the requests of one tier that a host received.
 *
 * @param tier the name of the tier
 * @param waiting the number of requests waiting for dispatch
 * @param inFlight the number of dispatched requests without a complete response
 * @param completed the number of requests completed since the start of the process
 * @param refused the number of requests refused since the start of the process
 */
public record TierStatus(String tier, int waiting, int inFlight, long completed, long refused) {}
