package io.samphiredyke.core.config;

import org.jspecify.annotations.Nullable;

/**
 * A record of the configuration stream at its place in the log.
 *
 * @param offset the log offset
 * @param timeMillis when the log took it, in milliseconds since 1970 by the log's clock
 * @param record the record, null if it can't be decoded
 */
public record LogEntry(long offset, long timeMillis, @Nullable ConfigurationRecord record) {}
