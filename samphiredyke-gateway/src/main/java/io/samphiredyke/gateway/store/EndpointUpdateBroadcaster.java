package io.samphiredyke.gateway.store;

import io.samphiredyke.gateway.scheduling.PeerGroup;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.StoreRecord;
import java.time.Duration;
import java.util.List;

/**
 * Elects two hosts that read the endpoint entries from the store and broadcast the changes to the
 * others.
 *
 * <p>Each call to the store has a cost, and most heartbeats change nothing. A host that receives no
 * update for {@link #READER_TIMEOUT} reads the store itself, which bounds the delay of a change if
 * the readers are dead, paused or unreachable.
 */
public final class EndpointUpdateBroadcaster {

  /** Number of readers; with only one, updates would be late whenever it stops. */
  private static final int READERS = 2;

  /**
   * Time without updates after which a host reads the store itself. Together with the readers' read
   * interval it stays below the shortest drain period.
   */
  private static final Duration READER_TIMEOUT = Duration.ofMillis(1_100);

  private final ControlEventLoop loop;
  private final PeerGroup peers;
  private final ReaderElection election;
  private final EndpointReceiver receiver;
  private final TopicFollower follower;
  private long lastUpdateAt = Long.MIN_VALUE;

  /** Creates a broadcaster and registers it for updates of other hosts. */
  public EndpointUpdateBroadcaster(
      ControlEventLoop loop,
      PeerGroup peers,
      String self,
      EndpointReceiver receiver,
      TopicFollower follower) {
    this.loop = loop;
    this.peers = peers;
    this.election = new ReaderElection(peers, self, "endpoint-entries");
    this.receiver = receiver;
    this.follower = follower;
    peers.setEndpointUpdateListener(this::onEndpointUpdate);
  }

  /** Returns whether this host has to read the store. */
  public boolean mustReadStore() {
    boolean isTimedOut =
        lastUpdateAt == Long.MIN_VALUE || loop.nanoTime() - lastUpdateAt > READER_TIMEOUT.toNanos();
    return isTimedOut || isReader();
  }

  /** Ignores earlier updates of other hosts, so that this host reads the store immediately. */
  public void forgetReaders() {
    lastUpdateAt = Long.MIN_VALUE;
  }

  private boolean isReader() {
    return election.rank(READERS) < READERS;
  }

  /** Broadcasts the changes that were read, if this host is a reader. */
  public void broadcast(long nextOffset) {
    if (isReader()) {
      peers.broadcastEndpointUpdate(
          follower.position().era(), receiver.completeFrom(), nextOffset, receiver.changes());
    }
  }

  private void onEndpointUpdate(
      long era, long completeFrom, long nextOffset, List<StoreRecord> changes) {
    follower.observeEra(era);
    long ownOffset = follower.position().offset();
    switch (follower.position().classify(era, completeFrom, nextOffset)) {
      case APPLY -> {
        lastUpdateAt = loop.nanoTime();
        if (follower.advanceTo(nextOffset)) {
          receiver.onRecords(changesFrom(ownOffset, changes), nextOffset);
        }
      }
      case CURRENT -> lastUpdateAt = loop.nanoTime();
      default -> {
        // The reader is behind, or this host has to read the store itself.
      }
    }
  }

  private static List<StoreRecord> changesFrom(long offset, List<StoreRecord> changes) {
    return changes.stream().filter(change -> change.offset() >= offset).toList();
  }
}
