package io.samphiredyke.core.ownership;

import org.jspecify.annotations.Nullable;

/**
 * Content of the register of one request.
 *
 * @param holder the first writer; writes of others are never accepted
 * @param status state of the request as written by the holder
 * @param attempt the highest attempt number of the holder
 * @param endpoint the endpoint of that attempt, if it was named
 * @param detail why the request was closed, or how it ended
 * @param bodyDigest digest of the body, if known
 */
public record RegisterRecord(
    Incarnation holder,
    Status status,
    int attempt,
    @Nullable String endpoint,
    @Nullable String detail,
    @Nullable String bodyDigest) {

  /** State of a request as written by the holder of its register. */
  public enum Status {
    /** The register has a holder, which has not named an endpoint. */
    TAKEN,
    /** The holder may dispatch, or has dispatched, to the named endpoint. */
    INTENDED,
    /** The request was not dispatched and never will be. */
    CLOSED,
    /** The endpoint has finished the request. */
    FINISHED
  }
}
