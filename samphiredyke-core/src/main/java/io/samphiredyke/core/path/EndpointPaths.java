package io.samphiredyke.core.path;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The endpoint addresses that this host can't connect to although another host can.
 *
 * <p>A path counts as lost only when a peer has confirmed it. An address that no host connects to
 * is the endpoint's fault. A lost path is probed until a probe connects or no request has needed it
 * for some time.
 *
 * <p>Times are in nanoseconds of a monotonic clock.
 */
public final class EndpointPaths {

  private static final long PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Share of the probe interval by which it varies in both directions. */
  private static final double PROBE_JITTER = 0.2;

  /** A lost path that no request has needed for this time is forgotten. */
  private static final long UNUSED_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final int MAX_ADDRESSES = 4_096;

  private static final class Loss {
    private final long since;
    private long lastUsedAt;

    Loss(long since) {
      this.since = since;
      this.lastUsedAt = since;
    }
  }

  private static final class Probe {
    private long nextAt;
    private boolean inProgress;

    Probe(long nextAt) {
      this.nextAt = nextAt;
    }

    boolean isDue(long now) {
      return !inProgress && now - nextAt >= 0;
    }
  }

  private final RandomGenerator random;
  private final Map<String, Loss> losses = new BoundedMap<>(MAX_ADDRESSES);
  private final Map<String, Probe> probes = new BoundedMap<>(MAX_ADDRESSES);

  /**
   * Creates an instance without a lost path.
   *
   * @param random source of the jitter between probes
   */
  public EndpointPaths(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns whether a request must not count on a direct connection to an address. This is a use of
   * the path, so that a loss doesn't expire.
   */
  public boolean isLost(String address, long now) {
    Loss loss = losses.get(address);
    if (loss == null) {
      return false;
    }
    if (isUnused(loss, now)) {
      forget(address);
      return false;
    }
    loss.lastUsedAt = now;
    return true;
  }

  private static boolean isUnused(Loss loss, long now) {
    return now - loss.lastUsedAt >= UNUSED_NANOS;
  }

  /**
   * Records that a direct connection could not be established while a peer established one.
   *
   * @return whether the path was not known as lost
   */
  public boolean confirmedLost(String address, long now) {
    Loss known = losses.get(address);
    if (known != null) {
      known.lastUsedAt = now;
      return false;
    }
    losses.put(address, new Loss(now));
    probe(address, now).nextAt = now + interval();
    return true;
  }

  /**
   * Records that a direct connection was established.
   *
   * @return for how long the path was lost, or -1 if it was not, in nanoseconds
   */
  public long directConnected(String address, long now) {
    Loss loss = losses.remove(address);
    return loss == null ? -1 : now - loss.since;
  }

  /**
   * Begins a probe of a path that isn't known as lost.
   *
   * @return false if another probe of it is in progress or ended less than a second ago
   */
  public boolean beginProbe(String address, long now) {
    Probe probe = probe(address, now);
    if (!probe.isDue(now)) {
      return false;
    }
    probe.inProgress = true;
    return true;
  }

  /** Begins the probes that are due and returns the addresses, all of lost paths. */
  public List<String> beginDueProbes(long now) {
    losses
        .entrySet()
        .removeIf(
            entry -> {
              boolean isUnused = isUnused(entry.getValue(), now);
              if (isUnused) {
                probes.remove(entry.getKey());
              }
              return isUnused;
            });
    List<String> due = new ArrayList<>();
    for (String address : losses.keySet()) {
      if (beginProbe(address, now)) {
        due.add(address);
      }
    }
    return due;
  }

  /** Records that a probe has ended; {@link #directConnected} tells that it was successful. */
  public void probeEnded(String address, long now) {
    Probe probe = probes.get(address);
    if (probe != null) {
      probe.inProgress = false;
      probe.nextAt = now + interval();
    }
  }

  private Probe probe(String address, long now) {
    return probes.computeIfAbsent(address, key -> new Probe(now));
  }

  private long interval() {
    return (long) (PROBE_INTERVAL_NANOS * (1 + PROBE_JITTER * (2 * random.nextDouble() - 1)));
  }

  /** Forgets an address, because its endpoint has left. */
  public void forget(String address) {
    losses.remove(address);
    probes.remove(address);
  }

  /** Returns the number of lost paths. */
  public int size() {
    return losses.size();
  }
}
