package io.samphiredyke.client;

/**
 * What an answer took.
 *
 * @param requestIds request ids used; each one but the last was answered "not run"
 * @param connections times that a request was sent or resumed
 */
public record AttemptCounts(int requestIds, int connections) {}
