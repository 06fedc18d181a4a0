package io.samphiredyke.core.path;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * The peers through which this host can reach endpoints.
 *
 * <p>What a peer did for one address is taken as a sign for the others, unless it is known for the
 * address itself. Entries expire. Times are in nanoseconds of a monotonic clock.
 */
public final class PeerPaths {

  /** Maximum number of peers that are asked for one connection. */
  public static final int MAX_PEERS = 3;

  /** Time for which a peer that failed is not asked for the same address again. */
  private static final long BARRED_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time after which a success or a failure tells nothing any more. */
  private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Failures in a row, after a success, from which a peer counts as failed for all addresses. */
  private static final int MAX_FAILURES = 2;

  /** One in this many choices tries a peer that is not known to work, while few are. */
  private static final int EXPLORATION_INTERVAL = 16;

  private static final int MAX_PAIRS = 8_192;
  private static final int MAX_KNOWN_PEERS = 1_024;

  private record Pair(String peer, String address) {}

  private record Failure(String peer, long at, boolean isBarring) {}

  /** What a peer did last, for any address. */
  private static final class PeerState {
    private boolean hasConnected;
    private long connectedAt;
    private boolean hasFailed;
    private long failedAt;
    private int failuresInRow;
    private boolean isUnavailable;

    boolean hasConnectedLately(long now) {
      return hasConnected && now - connectedAt < EXPIRY_NANOS;
    }

    boolean hasFailedLately(long now) {
      return hasFailed && now - failedAt < EXPIRY_NANOS;
    }

    boolean works(long now) {
      return hasConnectedLately(now) && failuresInRow < MAX_FAILURES && !isUnavailable;
    }
  }

  private final RandomGenerator random;
  private final Map<Pair, Long> failures = new BoundedMap<>(MAX_PAIRS);
  private final Map<String, PeerState> peers = new BoundedMap<>(MAX_KNOWN_PEERS);

  /**
   * Creates an instance that knows nothing about any peer.
   *
   * @param random source of the choice among equal peers
   */
  public PeerPaths(RandomGenerator random) {
    this.random = random;
  }

  private PeerState state(String peer) {
    return peers.computeIfAbsent(peer, key -> new PeerState());
  }

  /** Records that a peer connected to an address. */
  public void connected(String peer, String address, long now) {
    failures.remove(new Pair(peer, address));
    PeerState state = state(peer);
    state.hasConnected = true;
    state.connectedAt = now;
    state.failuresInRow = 0;
    state.isUnavailable = false;
  }

  /** Records that a peer did not connect to an address. */
  public void failed(String peer, String address, long now) {
    Pair pair = new Pair(peer, address);
    failures.remove(pair);
    failures.put(pair, now);
    PeerState state = state(peer);
    state.hasFailed = true;
    state.failedAt = now;
    state.failuresInRow++;
  }

  /** Records that a peer is not reached or takes no connection to any address. */
  public void unavailable(String peer, long now) {
    PeerState state = state(peer);
    state.hasFailed = true;
    state.failedAt = now;
    state.isUnavailable = true;
  }

  /**
   * Chooses the peers to ask, at most {@link #MAX_PEERS}: at first those that have connected
   * lately, in random order, then those of which nothing is known, then the others, beginning with
   * the oldest failure.
   *
   * @param livePeers addresses of the peers that are alive
   */
  public List<String> choose(List<String> livePeers, String address, long now) {
    List<String> working = new ArrayList<>();
    List<String> unknown = new ArrayList<>();
    List<Failure> failed = new ArrayList<>();
    for (String peer : shuffled(livePeers)) {
      PeerState state = peers.get(peer);
      Failure failure = failure(peer, state, address, now);
      if (failure != null) {
        failed.add(failure);
      } else if (state != null && state.works(now)) {
        working.add(peer);
      } else {
        unknown.add(peer);
      }
    }
    return ordered(working, unknown, failed, now);
  }

  private List<String> ordered(
      List<String> working, List<String> unknown, List<Failure> failed, long now) {
    boolean explores =
        !working.isEmpty()
            && working.size() < MAX_PEERS
            && !unknown.isEmpty()
            && random.nextInt(EXPLORATION_INTERVAL) == 0;
    List<String> chosen = new ArrayList<>();
    if (explores) {
      chosen.add(unknown.remove(0));
    }
    chosen.addAll(working);
    chosen.addAll(unknown);
    failed.sort(Comparator.comparingLong(failure -> failure.at() - now));
    for (Failure failure : failed) {
      if (!failure.isBarring() || now - failure.at() >= BARRED_NANOS) {
        chosen.add(failure.peer());
      }
    }
    return List.copyOf(chosen.subList(0, Math.min(MAX_PEERS, chosen.size())));
  }

  private List<String> shuffled(List<String> livePeers) {
    List<String> shuffled = new ArrayList<>(livePeers);
    for (int i = shuffled.size() - 1; i > 0; i--) {
      Collections.swap(shuffled, i, random.nextInt(i + 1));
    }
    return shuffled;
  }

  /** Returns the failure of a peer that matters for an address, or null. */
  private @Nullable Failure failure(
      String peer, @Nullable PeerState state, String address, long now) {
    Long failedAt = failures.get(new Pair(peer, address));
    if (failedAt != null && now - failedAt < EXPIRY_NANOS) {
      return new Failure(peer, failedAt, true);
    }
    if (state == null || !state.hasFailedLately(now) || state.works(now)) {
      return null;
    }
    return new Failure(peer, state.failedAt, state.isUnavailable);
  }
}
