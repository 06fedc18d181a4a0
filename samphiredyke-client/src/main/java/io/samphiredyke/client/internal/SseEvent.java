package io.samphiredyke.client.internal;

/**
 * One server-sent event.
 *
 * @param id the last id that the stream stated, empty for none
 * @param type the event's type, {@code message} unless stated
 * @param data the data lines, joined by line feeds
 */
public record SseEvent(String id, String type, String data) {}
