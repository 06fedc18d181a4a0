package io.samphiredyke.gateway;

import io.netty.channel.EventLoop;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.serving.EndpointDirectory;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.scheduling.PeerGroup;
import io.samphiredyke.gateway.tunnel.TunnelClient;
import io.samphiredyke.gateway.tunnel.TunnelServer;
import io.samphiredyke.gateway.upstream.AddressResolver;
import io.samphiredyke.gateway.upstream.EndpointConnectionPool;
import io.samphiredyke.gateway.upstream.HostPaths;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.platform.HostSettings;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Connections to endpoints: this host's, directly and through peers, and tunnels for peers. */
final class EndpointAccess {

  private final String self;
  private final Supplier<PeerGroup> peers;
  private final HostPaths paths;
  private final EndpointConnectionPool connections;
  private final TunnelServer tunnels;

  /**
   * Creates the components; the server for tunnels is not bound yet.
   *
   * @param endpoints returns the directory, called only after the construction
   * @param peers returns the group of hosts, called only after the construction
   */
  EndpointAccess(
      EventLoop loop,
      HostSettings settings,
      AddressResolver resolver,
      Supplier<EndpointDirectory> endpoints,
      Supplier<PeerGroup> peers,
      RandomGenerator random,
      DecisionLog log) {
    this.self = settings.peerAddress();
    this.peers = peers;
    this.paths =
        new HostPaths(loop, new TunnelClient(loop, self), this::tunnelPeers, random, log::event);
    this.connections = new EndpointConnectionPool(loop, resolver, paths);
    this.tunnels =
        new TunnelServer(
            loop,
            id -> endpoints.get().find(id),
            paths.endpoints(),
            resolver::resolve,
            this::liveHosts,
            log::event);
  }

  /** Returns the peers that may be asked for tunnels. */
  private List<String> tunnelPeers() {
    return peers.get().liveMembers().stream()
        .filter(member -> member.state() == MemberState.ALIVE && !member.draining())
        .map(Member::address)
        .filter(address -> !address.equals(self))
        .toList();
  }

  private List<String> liveHosts() {
    return peers.get().liveMembers().stream().map(Member::address).toList();
  }

  /** Starts accepting requests for tunnels; the peer address is also that of the datagrams. */
  CompletableFuture<Void> start() {
    return tunnels.start(SocketAddresses.parse(self)).thenAccept(bound -> {});
  }

  EndpointConnectionPool connections() {
    return connections;
  }

  HostPaths paths() {
    return paths;
  }

  TunnelServer tunnels() {
    return tunnels;
  }

  /** Closes what has expired and probes lost paths. */
  void sweep() {
    connections.closeExpired();
    connections.checkPaths();
    tunnels.closeAbandoned();
  }
}
