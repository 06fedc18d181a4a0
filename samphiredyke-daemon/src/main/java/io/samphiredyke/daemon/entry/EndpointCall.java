package io.samphiredyke.daemon.entry;

/** One attempt to get an answer from an endpoint: a dispatch or a resume. */
interface EndpointCall {

  /** Sends the request to the endpoint, once. */
  void dispatch();

  /** Asks for the answer of a request that was dispatched before, by its id. */
  void resume();

  /** Stops to read. */
  void stop();

  /** Learns how a call goes on. Called on any thread; each call ends with one of the last six. */
  interface Listener {

    /** The first part of the answer arrived. */
    void onFirstPart();

    /** The answer is whole. */
    void onEnded();

    /** The answer is longer than this host holds; reading was given up. */
    void onTooLong();

    /** Nothing was sent, or the endpoint proved that it did not run the request. */
    void onNotDispatched();

    /** The connection broke or went silent after the request was sent. */
    void onBroken();

    /** The endpoint does not know the request. */
    void onMissing();

    /** The endpoint cannot be reached for a resume. */
    void onUnreachable();
  }
}
