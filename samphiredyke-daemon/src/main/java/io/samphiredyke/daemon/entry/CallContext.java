package io.samphiredyke.daemon.entry;

import io.netty.channel.EventLoop;
import io.samphiredyke.net.http.HttpClient;

/**
 * What every call of one request to an endpoint needs.
 *
 * @param http sends requests to endpoints
 * @param loop the event loop for timers
 * @param requestId the request's id
 * @param payload what to send
 */
record CallContext(HttpClient http, EventLoop loop, String requestId, Payload payload) {}
