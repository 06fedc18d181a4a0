package io.samphiredyke.standins.log;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A record of a stream.
 *
 * @param offset the position in the stream, from 0
 * @param time the time of the append, milliseconds since the epoch
 * @param value any JSON value
 */
public record LogRecord(long offset, long time, JsonNode value) {}
