package io.samphiredyke.core.ownership;

import org.jspecify.annotations.Nullable;

/**
 * What a register holds for one request.
 *
 * @param holder the first writer; no other writer is ever accepted
 * @param status how far the holder has got
 * @param attempt the highest attempt of the holder
 * @param endpoint the endpoint of that attempt, if one was named
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

  /** How far the holder has got. */
  public enum Status {
    /** Claimed, no endpoint named. */
    TAKEN,
    /** The holder may dispatch or has dispatched to the endpoint named. */
    INTENDED,
    /** Not dispatched, and never will be. */
    CLOSED,
    /** The endpoint has finished the request. */
    FINISHED
  }
}
