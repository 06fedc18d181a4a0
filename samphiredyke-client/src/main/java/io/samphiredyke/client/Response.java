package io.samphiredyke.client;

/**
 * A complete response to a request.
 *
 * @param requestId the id of the request
 * @param status the HTTP status; a plain service may return any status
 * @param text the message of the assistant for a chat request, or the body for a plain service
 * @param attemptCounts the numbers of request ids and connections used
 */
public record Response(String requestId, int status, String text, AttemptCounts attemptCounts) {}
