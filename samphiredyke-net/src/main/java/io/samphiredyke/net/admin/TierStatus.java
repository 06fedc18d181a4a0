package io.samphiredyke.net.admin;

/**
 * The requests of a tier that entered at a host.
 *
 * @param tier the name of the tier
 * @param waiting how many wait to be dispatched
 * @param inFlight how many are dispatched and not yet answered
 * @param completed how many were answered since the start
 * @param refused how many were refused since the start
 */
public record TierStatus(String tier, int waiting, int inFlight, long completed, long refused) {}
