package io.samphiredyke.gateway.frontend;

/** Serves requests that have arrived whole. */
public interface RequestHandler {

  /** What the connection tells of a request that is being served. */
  interface Observer {

    /** The caller closed its connection before it had the whole answer. */
    void callerGone();

    /** More may be written again. */
    void writable();
  }

  /** Serves a request and returns who is told of its connection. */
  Observer serve(CallerRequest request);
}
