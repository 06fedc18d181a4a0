package io.samphiredyke.net.admin;

/**
 * The answer to {@code POST /v1/drain}.
 *
 * @param host the name of the host
 * @param inFlight how many requests still run; the host exits when it is 0
 */
public record DrainStatus(String host, int inFlight) {}
