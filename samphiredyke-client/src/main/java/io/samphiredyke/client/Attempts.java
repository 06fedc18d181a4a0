package io.samphiredyke.client;

/**
 * What an answer took.
 *
 * @param ids request ids used; each one but the last was answered "not run"
 * @param connections times that a request was sent or resumed
 */
public record Attempts(int ids, int connections) {}
