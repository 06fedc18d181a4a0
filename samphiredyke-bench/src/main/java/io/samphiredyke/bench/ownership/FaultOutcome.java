package io.samphiredyke.bench.ownership;

/**
 * Outcome of one request under a fault.
 *
 * @param executions number of executions started by endpoints
 * @param unknown whether the last response to the caller was that the outcome is unknown
 * @param falseNotRun whether the request was reported as not executed although it was executed
 * @param stalled whether the request was blocked until the fault ended
 */
record FaultOutcome(int executions, boolean unknown, boolean falseNotRun, boolean stalled) {}
