package io.samphiredyke.client;

/**
 * The whole answer to a request.
 *
 * @param requestId the request id that the answer belongs to
 * @param status the HTTP status; a plain service may answer with any
 * @param text the answer's text: of a chat, the assistant's message; of a service, the body
 * @param attempts what the answer took
 */
public record Answer(String requestId, int status, String text, Attempts attempts) {}
