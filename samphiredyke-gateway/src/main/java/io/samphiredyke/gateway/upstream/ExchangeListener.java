package io.samphiredyke.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.samphiredyke.platform.EndpointResponseHead;

/** Receives the response of an endpoint, on the event loop. */
public interface ExchangeListener {

  /**
   * Returns whether the request is still to be sent, asked when a new connection is open. If not,
   * the exchange fails as unsent.
   */
  default boolean isStillWanted() {
    return true;
  }

  /** Called when the response to another request has arrived, which is passed over. */
  default void onSkipped(EndpointResponseHead head) {}

  /** Called when the head of the response has arrived. */
  void onHead(EndpointResponseHead head, HttpResponse response);

  /** Called when a chunk of the body has arrived; the buffer is released after the call. */
  void onContent(ByteBuf content);

  /**
   * Called when a body contains the head of another response, before the exchange ends or fails.
   *
   * @param position where in the body the head begins
   * @param statedId id that the head states, empty if it is cut before it
   * @param isWholeCopy whether a whole copy follows the body, which is complete without it
   */
  default void onForeignBytes(long position, String statedId, boolean isWholeCopy) {}

  /** Called when the response is complete. */
  void onEnd();

  /** Called when the exchange has failed; no other call follows. */
  void onFailure(ExchangeFailure failure);
}
