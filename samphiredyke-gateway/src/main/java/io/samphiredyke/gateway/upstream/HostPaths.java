package io.samphiredyke.gateway.upstream;

import io.netty.channel.EventLoop;
import io.samphiredyke.core.path.EndpointPaths;
import io.samphiredyke.core.path.PeerPaths;
import io.samphiredyke.gateway.tunnel.EventSink;
import io.samphiredyke.gateway.tunnel.TunnelClient;
import io.samphiredyke.gateway.tunnel.TunnelRefusal;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** The paths of this host to endpoints, its own and those through peers, and their log. */
public final class HostPaths {

  private final EventLoop loop;
  private final EndpointPaths endpoints;
  private final PeerPaths peers;
  private final Supplier<List<String>> livePeers;
  private final TunnelClient tunnels;
  private final EventSink log;
  private long tunnelledConnections;

  /**
   * Creates an instance that knows no lost path.
   *
   * @param livePeers peer addresses of the other hosts that may be asked for tunnels
   */
  public HostPaths(
      EventLoop loop,
      TunnelClient tunnels,
      Supplier<List<String>> livePeers,
      RandomGenerator random,
      EventSink log) {
    this.loop = loop;
    this.endpoints = new EndpointPaths(random);
    this.peers = new PeerPaths(random);
    this.livePeers = livePeers;
    this.tunnels = tunnels;
    this.log = log;
  }

  private long now() {
    return loop.ticker().nanoTime();
  }

  /** Returns the decisions on this host's own paths. */
  public EndpointPaths endpoints() {
    return endpoints;
  }

  TunnelClient tunnels() {
    return tunnels;
  }

  /** Returns the peers that may carry connections of this host. */
  List<String> livePeers() {
    return livePeers.get();
  }

  boolean isLost(String address) {
    return endpoints.isLost(address, now());
  }

  List<String> choosePeers(String address) {
    return peers.choose(livePeers.get(), address, now());
  }

  /** Records that a direct connection was established; returns whether the path was lost. */
  boolean directConnected(String address) {
    long lostNanos = endpoints.directConnected(address, now());
    if (lostNanos < 0) {
      return false;
    }
    log.event("path_back", "address", address, "lost_ms", TimeUnit.NANOSECONDS.toMillis(lostNanos));
    return true;
  }

  /** Records that a peer connected where a direct connection failed. */
  void confirmedLost(EndpointTarget target, String reason, String peer) {
    if (endpoints.confirmedLost(target.address(), now())) {
      log.event(
          "path_lost",
          "endpoint",
          target.endpointId(),
          "address",
          target.address(),
          "reason",
          reason,
          "peer",
          peer);
    }
  }

  void peerConnected(EndpointTarget target, String requestId, String peer, long millis) {
    peers.connected(peer, target.address(), now());
    tunnelledConnections++;
    logTunnel("tunnel_opened", target, requestId, peer, "ms", millis);
  }

  void peerRefused(EndpointTarget target, String requestId, String peer, TunnelRefusal refusal) {
    if (refusal.kind() == TunnelRefusal.Kind.PEER_UNAVAILABLE) {
      peers.unavailable(peer, now());
    } else {
      peers.failed(peer, target.address(), now());
    }
    logTunnel("tunnel_refused", target, requestId, peer, "reason", refusal.reason());
  }

  /** Records that a peer was slower than one that was asked after it. */
  void peerOvertaken(EndpointTarget target, String peer) {
    peers.failed(peer, target.address(), now());
  }

  /** Logs that a request is sent through a peer. */
  void sentThrough(EndpointTarget target, String requestId, String peer, boolean isReused) {
    logTunnel("sent_through", target, requestId, peer, "reused", isReused);
  }

  private void logTunnel(
      String event,
      EndpointTarget target,
      String requestId,
      String peer,
      String key,
      Object value) {
    log.event(event, "id", requestId, "endpoint", target.endpointId(), "peer", peer, key, value);
  }

  /** Returns the number of connections opened through peers so far. */
  public long tunnelledConnections() {
    return tunnelledConnections;
  }
}
