package io.samphiredyke.gateway.request;

import io.samphiredyke.gateway.log.DecisionLog;

/**
 * Memory of this host for the responses that are buffered until they are complete, in bytes.
 *
 * <p>A response for which none is left is relayed as it arrives, and no longer replaced if it
 * fails. Confined to the event loop.
 */
final class ResponseMemory {

  private final long limit;
  private final DecisionLog log;
  private long reserved;
  private long exhausted;

  /**
   * Creates an unused memory.
   *
   * @param limit bytes that all responses may reserve together
   */
  ResponseMemory(long limit, DecisionLog log) {
    this.limit = limit;
    this.log = log;
  }

  /** Returns the share of a request, empty at first. */
  Share shareOf(String requestId) {
    return new Share(requestId);
  }

  /** Returns the bytes that are reserved. */
  long reserved() {
    return reserved;
  }

  /** Returns the number of responses that were not buffered because no memory was left. */
  long exhausted() {
    return exhausted;
  }

  /** Bytes that one request has reserved. */
  final class Share {

    private final String requestId;
    private long bytes;

    private Share(String requestId) {
      this.requestId = requestId;
    }

    /** Reserves further bytes, unless more than the limit would be reserved. */
    boolean reserve(int more) {
      if (reserved + more > limit) {
        exhausted++;
        log.event("response_not_buffered", "id", requestId, "bytes", bytes, "all", reserved);
        return false;
      }
      reserved += more;
      bytes += more;
      return true;
    }

    /** Returns all bytes that were reserved. */
    void release() {
      reserved -= bytes;
      bytes = 0;
    }
  }
}
