package io.samphiredyke.daemon.membership;

import java.util.concurrent.atomic.LongAdder;

/** Counts the datagrams of gossip that arrived. */
public final class GossipCounters {

  private final LongAdder bytesReceived = new LongAdder();
  private final LongAdder refused = new LongAdder();

  void received(int bytes) {
    bytesReceived.add(bytes);
  }

  void refused() {
    refused.increment();
  }

  /** Returns the payload bytes received. */
  public long bytesReceived() {
    return bytesReceived.sum();
  }

  /** Returns how many datagrams were dropped as malformed or not authentic. */
  public long refusedDatagrams() {
    return refused.sum();
  }
}
