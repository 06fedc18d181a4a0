package io.samphiredyke.net.admin;

/**
 * The progress of a graceful shutdown, returned by {@code POST /v1/drain}.
 *
 * @param host the name of the host
 * @param inFlight the number of requests still running; the host exits at 0
 */
public record DrainStatus(String host, int inFlight) {}
