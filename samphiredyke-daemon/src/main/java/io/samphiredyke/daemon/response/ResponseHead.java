package io.samphiredyke.daemon.response;

/**
 * The head of an endpoint's response.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param isStream whether the chunks are the server-sent events of a chat completion
 */
public record ResponseHead(int status, String contentType, boolean isStream) {}
