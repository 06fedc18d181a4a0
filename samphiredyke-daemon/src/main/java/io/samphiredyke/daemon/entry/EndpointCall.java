package io.samphiredyke.daemon.entry;

/** One attempt to get a response from an endpoint, by a dispatch or a resume. */
interface EndpointCall {

  /** Sends the request to the endpoint. Called at most once. */
  void dispatch();

  /** Fetches the response to a request that was dispatched before, by its id. */
  void resume();

  /** Stops reading the response; the listener is not notified any more. */
  void cancel();

  /**
   * Receives the progress and the result of a call.
   *
   * <p>Methods may be called on any thread. Each call ends with exactly one of the methods after
   * {@link #onFirstChunk}, unless it is cancelled.
   */
  interface Listener {

    /** The first chunk of the response arrived. */
    void onFirstChunk();

    /** The response is complete. */
    void onCompleted();

    /** The response is longer than the configured limit; the rest is not read. */
    void onResponseTooLong();

    /**
     * Nothing was sent, or the endpoint proved that it did not execute the request.
     *
     * @param isReached whether the endpoint itself refused it, so that there is a path to it
     */
    void onNotExecuted(boolean isReached);

    /** The connection was lost or timed out after the request was sent. */
    void onConnectionLost();

    /** The endpoint does not know the request. */
    void onRequestUnknown();

    /** The endpoint could not be reached for a resume. */
    void onResumeFailed();
  }
}
