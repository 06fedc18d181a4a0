package io.samphiredyke.client;

/**
 * The whole answer to a request.
 *
 * @param requestId the request id that the answer belongs to
 * @param status the HTTP status; a plain service may answer with any
 * @param text the answer's text: of a chat, the assistant's message; of a service, the body
 * @param attemptCounts what the answer took
 */
public record Response(String requestId, int status, String text, AttemptCounts attemptCounts) {}
