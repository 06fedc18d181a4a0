package io.samphiredyke.daemon.response;

/**
 * The head of an endpoint's answer.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param isStream whether the parts are server-sent events of a completion
 */
public record ResponseHead(int status, String contentType, boolean isStream) {}
