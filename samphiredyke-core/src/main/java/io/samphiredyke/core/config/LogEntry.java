package io.samphiredyke.core.config;

import org.jspecify.annotations.Nullable;

/**
 * An entry of the log: a record of the configuration stream with its offset.
 *
 * @param offset the log offset
 * @param timeMillis when the record was appended, in milliseconds since 1970 by the log's clock
 * @param record the record, null if it can't be decoded
 */
public record LogEntry(long offset, long timeMillis, @Nullable ConfigurationRecord record) {}
