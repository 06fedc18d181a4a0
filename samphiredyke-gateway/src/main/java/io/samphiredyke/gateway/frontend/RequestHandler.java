package io.samphiredyke.gateway.frontend;

/** Handles complete requests. */
public interface RequestHandler {

  /** Observes the connection of a request while the request is processed. */
  interface Observer {

    /** Called when the caller has closed its connection before the response was complete. */
    void onDisconnected();

    /** Called when the connection has become writable again. */
    void onWritable();
  }

  /** Handles a request and returns the observer of its connection. */
  Observer handle(CallerRequest request);
}
