package io.samphiredyke.daemon.membership;

import java.util.concurrent.atomic.LongAdder;

/** Counts received and rejected gossip datagrams. Thread-safe. */
public final class GossipCounters {

  private final LongAdder bytesReceived = new LongAdder();
  private final LongAdder rejected = new LongAdder();

  void countReceived(int bytes) {
    bytesReceived.add(bytes);
  }

  void countRejected() {
    rejected.increment();
  }

  /** Returns the payload bytes received. */
  public long bytesReceived() {
    return bytesReceived.sum();
  }

  /** Returns the number of datagrams that were dropped as malformed or not authentic. */
  public long rejectedDatagrams() {
    return rejected.sum();
  }
}
