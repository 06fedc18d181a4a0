package io.samphiredyke.gateway.upstream;

/**
 * Why no connection to an endpoint could be established.
 *
 * @param isPathSuspect whether the path may be lost rather than the endpoint
 * @param isRefused whether nothing listens at the endpoint's address, as far as hosts reach it
 */
record ConnectFailure(String reason, boolean isPathSuspect, boolean isRefused) {}
