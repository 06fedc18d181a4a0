package io.samphiredyke.core.pool;

/**
 * A part of a prompt that an engine may hold in its prefix cache.
 *
 * @param id id of the content; equal parts have equal ids
 * @param tokens its length in tokens
 */
public record PromptPart(long id, int tokens) {}
