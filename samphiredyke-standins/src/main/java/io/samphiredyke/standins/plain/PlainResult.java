package io.samphiredyke.standins.plain;

/**
 * The answer to a call.
 *
 * @param id the request id
 * @param service the name of the service process
 * @param path the path that was called
 * @param digest the hexadecimal SHA-256 of the call's body
 * @param effect how many effects the id had by then; 1 unless the call was repeated
 */
public record PlainResult(String id, String service, String path, String digest, long effect) {}
