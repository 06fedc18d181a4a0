package io.samphiredyke.core.liveness;

/**
 * Result of the probes of an endpoint.
 *
 * @param reason what decided it, for the log
 */
public record LivenessVerdict(Liveness liveness, String reason) {}
