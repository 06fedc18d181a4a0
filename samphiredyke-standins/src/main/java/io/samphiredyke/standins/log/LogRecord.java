package io.samphiredyke.standins.log;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A record of a stream.
 *
 * @param offset its place, from 0
 * @param time when it was appended, milliseconds since 1970
 * @param value any JSON value
 */
public record LogRecord(long offset, long time, JsonNode value) {}
