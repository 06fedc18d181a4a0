package io.samphiredyke.standins.plain;

/**
 * The response to a call.
 *
 * @param id the request id
 * @param service the name of the service instance
 * @param path the request path
 * @param digest the hexadecimal SHA-256 of the request body
 * @param effect the number of effects of the request id so far; 1 unless the call was retried
 */
public record PlainResult(String id, String service, String path, String digest, long effect) {}
