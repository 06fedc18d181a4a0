package io.samphiredyke.client.internal;

import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The hosts that did not answer this client lately although others did. It determines the order in
 * which new requests try the hosts of their ticket, and nothing else.
 *
 * <p>A host is recorded if a request got no response from it and another host then decided about
 * that request. Of a host that holds the request and only takes long, the others state the address
 * instead. After {@link #RETRY_INTERVAL} one new request tries the host again. Any response of the
 * host removes it.
 *
 * <p>Thread-safe. At most {@link #MAX_HOSTS} hosts are kept, the ones recorded first are dropped.
 */
final class SilentHosts {

  static final Duration RETRY_INTERVAL = Duration.ofSeconds(10);
  static final int MAX_HOSTS = 256;

  private final Ticker ticker;

  /** The time of the next attempt, on the monotonic clock of the client, by host. */
  private final Map<InetSocketAddress, Long> retryAtNanos = new LinkedHashMap<>();

  SilentHosts(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Records that a host left a request unanswered that another host answered. */
  synchronized void recordSilence(InetSocketAddress host) {
    retryAtNanos.put(host, ticker.nanoTime() + RETRY_INTERVAL.toNanos());
    if (retryAtNanos.size() > MAX_HOSTS) {
      retryAtNanos.remove(retryAtNanos.keySet().iterator().next());
    }
  }

  /** Records a response of a host. */
  synchronized void recordResponse(InetSocketAddress host) {
    retryAtNanos.remove(host);
  }

  /** Returns whether a host is recorded and has not answered since. */
  synchronized boolean isSilent(InetSocketAddress host) {
    return retryAtNanos.containsKey(host);
  }

  /**
   * Returns the addresses of a ticket in the order in which a new request tries them: silent hosts
   * last, otherwise as stated. If a silent host is due, the request for which it is returned first
   * tries it. If all hosts are silent, the order is as stated.
   */
  synchronized List<InetSocketAddress> order(List<InetSocketAddress> addresses) {
    List<InetSocketAddress> ordered = new ArrayList<>();
    List<InetSocketAddress> avoided = new ArrayList<>();
    long now = ticker.nanoTime();
    for (InetSocketAddress address : addresses) {
      Long retryAt = retryAtNanos.get(address);
      boolean isAvoided = retryAt != null && now - retryAt < 0;
      (isAvoided ? avoided : ordered).add(address);
    }
    if (ordered.isEmpty()) {
      return addresses;
    }
    retryAtNanos.computeIfPresent(
        ordered.get(0), (host, retryAt) -> now + RETRY_INTERVAL.toNanos());
    ordered.addAll(avoided);
    return ordered;
  }
}
