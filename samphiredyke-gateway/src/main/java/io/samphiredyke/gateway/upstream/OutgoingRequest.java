package io.samphiredyke.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request to an endpoint.
 *
 * @param requestId id by which its answer is recognised
 * @param method method
 * @param uri path and query as the caller sent them
 * @param headers headers without those of the connection
 * @param body whole body; the exchange takes a reference of its own
 */
public record OutgoingRequest(
    String requestId, HttpMethod method, String uri, HttpHeaders headers, ByteBuf body) {}
