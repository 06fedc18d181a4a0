package io.samphiredyke.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A caller's request that has arrived whole.
 *
 * @param head method, path and headers
 * @param body whole body; owned by the receiver
 * @param arrivedAt when its head arrived, nanoseconds of the loop's clock
 * @param answer the way back
 */
public record CallerRequest(
    HttpRequest head, ByteBuf body, long arrivedAt, ResponseWriter answer) {}
