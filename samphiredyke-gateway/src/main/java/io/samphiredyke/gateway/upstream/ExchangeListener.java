package io.samphiredyke.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.samphiredyke.platform.EndpointResponseHead;

/** Receives the answer of an endpoint, on the event loop. */
public interface ExchangeListener {

  /** The head of the answer arrived. */
  void onHead(EndpointResponseHead head, HttpResponse response);

  /** A piece of the body arrived; the buffer is released after the call. */
  void onContent(ByteBuf content);

  /** The answer is complete. */
  void onEnd();

  /** The exchange failed; nothing else follows. */
  void onFailure(ExchangeFailure failure);
}
