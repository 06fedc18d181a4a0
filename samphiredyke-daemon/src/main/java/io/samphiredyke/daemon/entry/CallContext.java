package io.samphiredyke.daemon.entry;

import io.netty.channel.EventLoop;
import io.samphiredyke.net.http.HttpClient;

/**
 * The dependencies and the content of all calls of one request to endpoints.
 *
 * @param http the client for requests to endpoints
 * @param loop the event loop that runs the call's timers
 * @param requestId the id of the request
 * @param payload the content to send
 */
record CallContext(HttpClient http, EventLoop loop, String requestId, Payload payload) {}
