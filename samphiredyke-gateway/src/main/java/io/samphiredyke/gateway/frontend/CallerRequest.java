package io.samphiredyke.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.samphiredyke.net.http.RequestHead;

/**
 * A complete request of a caller.
 *
 * @param head method, path and headers
 * @param body complete body, owned by the handler
 * @param arrivedAt when the head arrived, in nanoseconds of the event loop's clock
 * @param writer writer for the response
 */
public record CallerRequest(
    RequestHead head, ByteBuf body, long arrivedAt, ResponseWriter writer) {}
