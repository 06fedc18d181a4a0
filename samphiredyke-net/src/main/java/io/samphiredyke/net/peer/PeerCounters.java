package io.samphiredyke.net.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counters of the links of one process. */
public final class PeerCounters {

  private final LongAdder rejectedHandshakes = new LongAdder();
  private final LongAdder malformedFrames = new LongAdder();
  private final LongAdder unresponsiveLinks = new LongAdder();
  private final LongAdder bytesSent = new LongAdder();
  private final LongAdder bytesReceived = new LongAdder();
  private final LongAdder messagesSent = new LongAdder();

  void rejectedHandshake() {
    rejectedHandshakes.increment();
  }

  void malformedFrame() {
    malformedFrames.increment();
  }

  void unresponsiveLink() {
    unresponsiveLinks.increment();
  }

  void sent(long bytes) {
    bytesSent.add(bytes);
    messagesSent.increment();
  }

  void received(long bytes) {
    bytesReceived.add(bytes);
  }

  /** Returns the number of handshakes that were rejected. */
  public long rejectedHandshakes() {
    return rejectedHandshakes.sum();
  }

  /** Returns the number of links that were closed because of a malformed frame. */
  public long malformedFrames() {
    return malformedFrames.sum();
  }

  /**
   * Returns the number of links that were closed because a request timed out and no frame was
   * received meanwhile.
   */
  public long unresponsiveLinks() {
    return unresponsiveLinks.sum();
  }

  /** Returns the number of payload bytes sent on links. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /** Returns the number of payload bytes received on links. */
  public long bytesReceived() {
    return bytesReceived.sum();
  }

  /** Returns the number of messages sent on links. */
  public long messagesSent() {
    return messagesSent.sum();
  }
}
