package io.samphiredyke.standins.log;

import java.util.List;

/**
 * The result of one read from a stream.
 *
 * @param first the oldest retained offset
 * @param next the offset from which the next read continues
 * @param records the records, in order of offset
 */
public record LogPage(long first, long next, List<LogRecord> records) {}
