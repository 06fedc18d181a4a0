package io.samphiredyke.client;

/** Receives the progress of a request. Methods are called on one event loop and must not block. */
public interface ResponseListener {

  /** A listener that ignores all calls. */
  ResponseListener NONE = new ResponseListener() {};

  /** Called when a request id was assigned, before the request is sent with it. */
  default void onRequestId(String id) {}

  /** Called when a host reported that the request with this id was not executed. */
  default void onNotExecuted(String id) {}

  /**
   * Called with each event of a streamed response, exactly once and in order.
   *
   * @param offset the offset of the event, starting at 1
   * @param text the text of the event, which may be empty
   */
  default void onText(long offset, String text) {}
}
