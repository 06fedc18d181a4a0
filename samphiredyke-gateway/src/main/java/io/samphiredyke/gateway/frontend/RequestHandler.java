package io.samphiredyke.gateway.frontend;

/** Handles complete requests. */
public interface RequestHandler {

  /** Observes the connection of a request while the request is processed. */
  interface Observer {

    /** Called when the caller has closed its connection before the response was complete. */
    void onDisconnected();

    /** Called when the connection has become writable again. */
    void onWritable();

    /** Returns whether the request waits and has not been sent to an endpoint. */
    default boolean isWaiting() {
      return false;
    }

    /** Refuses the request if it waits, with a time after which it may be sent again. */
    default void refuse(String reason, long retryAfterMillis) {}
  }

  /** Handles a request and returns the observer of its connection. */
  Observer handle(CallerRequest request);
}
