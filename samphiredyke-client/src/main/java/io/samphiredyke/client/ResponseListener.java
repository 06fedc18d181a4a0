package io.samphiredyke.client;

/** Follows a request. Methods are called on one event loop and must not block. */
public interface ResponseListener {

  /** A listener that ignores everything. */
  ResponseListener NONE = new ResponseListener() {};

  /** Called when a request id was assigned, before anything is sent under it. */
  default void onRequestId(String id) {}

  /** Called when the system said that the request with this id did not run. */
  default void onNotExecuted(String id) {}

  /**
   * Called with each part of a streamed answer, in order and once.
   *
   * @param offset the number of the event, from 1
   * @param text the text, which may be empty
   */
  default void onText(long offset, String text) {}
}
