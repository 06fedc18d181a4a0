package io.samphiredyke.core.pool;

/**
 * A part of a prompt that an engine may keep in its prefix cache.
 *
 * @param id identity of the content
 * @param tokens its length
 */
public record PromptPart(long id, int tokens) {}
