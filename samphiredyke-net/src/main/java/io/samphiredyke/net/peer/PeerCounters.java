package io.samphiredyke.net.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts what happens on the links of one process. */
public final class PeerCounters {

  private final LongAdder refusedHandshakes = new LongAdder();
  private final LongAdder malformedFrames = new LongAdder();
  private final LongAdder silentLinks = new LongAdder();
  private final LongAdder bytesSent = new LongAdder();
  private final LongAdder bytesReceived = new LongAdder();
  private final LongAdder messagesSent = new LongAdder();

  void refusedHandshake() {
    refusedHandshakes.increment();
  }

  void malformedFrame() {
    malformedFrames.increment();
  }

  void silentLink() {
    silentLinks.increment();
  }

  void sent(long bytes) {
    bytesSent.add(bytes);
    messagesSent.increment();
  }

  void received(long bytes) {
    bytesReceived.add(bytes);
  }

  /** Returns how many handshakes were refused. */
  public long refusedHandshakes() {
    return refusedHandshakes.sum();
  }

  /** Returns how many links were closed because of a malformed frame. */
  public long malformedFrames() {
    return malformedFrames.sum();
  }

  /** Returns how many links were closed because a request on them got no reply. */
  public long silentLinks() {
    return silentLinks.sum();
  }

  /** Returns the payload bytes sent on links. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /** Returns the payload bytes received on links. */
  public long bytesReceived() {
    return bytesReceived.sum();
  }

  /** Returns the number of messages sent on links. */
  public long messagesSent() {
    return messagesSent.sum();
  }
}
