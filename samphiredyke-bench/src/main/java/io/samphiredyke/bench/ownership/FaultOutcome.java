package io.samphiredyke.bench.ownership;

/**
 * What became of one request.
 *
 * @param executions how often an endpoint began it
 * @param unknown whether the caller was last told that it is unknown
 * @param falseNotRun whether the caller was told "not run" and it ran
 * @param stalled whether it could not go on until the fault ended
 */
record FaultOutcome(int executions, boolean unknown, boolean falseNotRun, boolean stalled) {}
