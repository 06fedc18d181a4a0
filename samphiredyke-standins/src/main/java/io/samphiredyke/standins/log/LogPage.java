package io.samphiredyke.standins.log;

import java.util.List;

/**
 * A part of a stream.
 *
 * @param first the oldest offset that is kept
 * @param next the offset to read from next
 * @param records the records, in order
 */
public record LogPage(long first, long next, List<LogRecord> records) {}
