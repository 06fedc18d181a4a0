package io.samphiredyke.gateway.upstream;

import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.Map;

/** The direct connections to endpoints that are open, and since when. */
final class OpenConnections {

  private final Map<String, Map<Channel, Long>> openedAt = new HashMap<>();

  /** Adds a connection until it is closed. */
  void add(Channel channel, String address, long now) {
    openedAt.computeIfAbsent(address, key -> new HashMap<>()).put(channel, now);
    channel.closeFuture().addListener(done -> remove(channel, address));
  }

  private void remove(Channel channel, String address) {
    Map<Channel, Long> connections = openedAt.get(address);
    if (connections != null) {
      connections.remove(channel);
      if (connections.isEmpty()) {
        openedAt.remove(address);
      }
    }
  }

  /**
   * Returns whether a connection to an address is open that was open before a time. One that is not
   * read, as its caller is slow, does not count: its end would not be seen.
   */
  boolean hasOpenSince(String address, long time) {
    for (Map.Entry<Channel, Long> connection :
        openedAt.getOrDefault(address, Map.of()).entrySet()) {
      Channel channel = connection.getKey();
      boolean isRead = channel.isActive() && channel.config().isAutoRead();
      if (isRead && connection.getValue() - time < 0) {
        return true;
      }
    }
    return false;
  }
}
