package io.samphiredyke.gateway.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.samphiredyke.gateway.tunnel.TunnelClient;
import io.samphiredyke.gateway.tunnel.TunnelRefusal;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to connect to an endpoint, directly and through peers.
 *
 * <p>Where the direct path is not known as lost, peers are asked only when the direct connection
 * has failed or is not established after a short time. The first established connection is used,
 * later ones are closed. If it goes through a peer and the direct one has failed or hangs, the
 * direct path counts as lost.
 */
final class ConnectionAttempt {

  /** Receives the result of the attempt, once and on the event loop. */
  interface Listener {

    /** Returns whether a connection is still needed. */
    boolean isWanted();

    /** Called when a connection is established and ready for exchanges. */
    void connected(Channel channel);

    /** Called when no connection could be established. */
    void failed(ConnectFailure failure);
  }

  /** Prepares connections and learns what direct ones tell. */
  interface Connector {

    /** Starts a direct connection, which is ready for exchanges when it is established. */
    ChannelFuture connectDirectly(EndpointTarget target);

    /** Makes a connection through a peer ready for exchanges. */
    void prepareTunnel(Channel channel, EndpointTarget target, String peer);

    /** Called when the direct path works. */
    void directConnected(EndpointTarget target);

    /** Called when the direct path is confirmed as lost because connections to it hang. */
    void directHangs(EndpointTarget target);
  }

  /** Time after which peers are asked too; within a region, connecting takes a few milliseconds. */
  private static final int HEDGE_MILLIS = 100;

  /** Time after which a direct connection that is not established counts as hung. */
  private static final int HUNG_MILLIS = 300;

  /** Time after which the next peer is asked too. */
  private static final int NEXT_PEER_MILLIS = 150;

  /** Time after which the attempt fails, whatever is still pending. */
  private static final int GIVE_UP_MILLIS = 500;

  private enum Direct {
    NOT_TRIED,
    PENDING,
    CONNECTED,
    FAILED
  }

  private final EventLoop loop;
  private final HostPaths paths;
  private final Connector connector;
  private final EndpointTarget target;
  private final String requestId;
  private final Listener listener;
  private final Set<String> pendingPeers = new LinkedHashSet<>();
  private Direct direct = Direct.NOT_TRIED;
  private boolean isHung;
  private boolean isRefused;
  private boolean isRefusedToPeer;
  private boolean isPathLostAtPeer;
  private @Nullable String reason;
  private @Nullable List<String> peers;
  private int askedPeers;
  private @Nullable String connectedPeer;
  private boolean isPathSuspect;
  private boolean done;

  ConnectionAttempt(
      EventLoop loop,
      HostPaths paths,
      Connector connector,
      EndpointTarget target,
      String requestId,
      Listener listener) {
    this.loop = loop;
    this.paths = paths;
    this.connector = connector;
    this.target = target;
    this.requestId = requestId;
    this.listener = listener;
  }

  void start() {
    loop.schedule(this::giveUp, GIVE_UP_MILLIS, TimeUnit.MILLISECONDS);
    isPathSuspect = paths.isLost(target.address());
    if (isPathSuspect) {
      List<String> chosen = paths.choosePeers(target.address());
      if (!chosen.isEmpty()) {
        peers = chosen;
        askNextPeer();
        return;
      }
    }
    direct = Direct.PENDING;
    ChannelFuture connecting = connector.connectDirectly(target);
    connecting.addListener(done -> directEnded(connecting));
    if (direct == Direct.PENDING && !paths.livePeers().isEmpty()) {
      loop.schedule(this::askPeers, HEDGE_MILLIS, TimeUnit.MILLISECONDS);
      loop.schedule(this::directHangs, HUNG_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void directEnded(ChannelFuture connecting) {
    if (connecting.isSuccess()) {
      direct = Direct.CONNECTED;
      connector.directConnected(target);
      if (done) {
        connecting.channel().close();
        return;
      }
      done = true;
      listener.connected(connecting.channel());
      return;
    }
    direct = Direct.FAILED;
    Throwable cause = connecting.cause();
    isHung |= cause instanceof ConnectTimeoutException;
    reason = String.valueOf(cause.getMessage());
    isRefused = TunnelRefusal.isConnectionRefused(reason);
    confirmLoss();
    askPeers();
    failIfOver();
  }

  private void directHangs() {
    if (direct == Direct.PENDING) {
      isHung = true;
      confirmLoss();
    }
  }

  /** Records a lost path if a peer has connected and the direct connection has not. */
  private void confirmLoss() {
    String peer = connectedPeer;
    if (peer == null || direct == Direct.NOT_TRIED || direct == Direct.CONNECTED) {
      return;
    }
    if (direct == Direct.PENDING && !isHung) {
      return;
    }
    String cause = reason;
    paths.confirmedLost(
        target, cause == null ? "not connected after " + HUNG_MILLIS + " ms" : cause, peer);
    if (isHung) {
      connector.directHangs(target);
    }
  }

  private void askPeers() {
    boolean isNeeded = direct == Direct.PENDING || direct == Direct.FAILED;
    if (!done && isNeeded && peers == null) {
      peers = paths.choosePeers(target.address());
      askNextPeer();
    }
  }

  private void askNextPeer() {
    List<String> chosen = peers;
    if (done || chosen == null || askedPeers >= chosen.size() || !listener.isWanted()) {
      return;
    }
    String peer = chosen.get(askedPeers);
    askedPeers++;
    pendingPeers.add(peer);
    int asked = askedPeers;
    loop.schedule(
        () -> {
          if (asked == askedPeers) {
            askNextPeer();
          }
        },
        NEXT_PEER_MILLIS,
        TimeUnit.MILLISECONDS);
    paths
        .tunnels()
        .open(peer, target.address(), target.endpointId(), requestId, new TunnelListener(peer));
  }

  private void failIfOver() {
    List<String> chosen = peers;
    boolean hasMorePeers = chosen != null && askedPeers < chosen.size() && listener.isWanted();
    if (direct == Direct.PENDING || !pendingPeers.isEmpty() || hasMorePeers) {
      return;
    }
    fail(String.valueOf(reason));
  }

  /** Fails an attempt that lasts too long; the endpoint may be down for all hosts. */
  private void giveUp() {
    fail("no connection within " + GIVE_UP_MILLIS + " ms");
  }

  private void fail(String cause) {
    if (!done) {
      done = true;
      boolean isRefusedToAll =
          !isPathLostAtPeer && (isRefusedToPeer || isRefused && !isPathSuspect);
      listener.failed(new ConnectFailure(cause, isPathSuspect, isRefusedToAll));
    }
  }

  private final class TunnelListener implements TunnelClient.Listener {

    private final String peer;
    private final long startedAt = loop.ticker().nanoTime();

    TunnelListener(String peer) {
      this.peer = peer;
    }

    @Override
    public void opened(Channel channel) {
      pendingPeers.remove(peer);
      if (done) {
        channel.close();
        return;
      }
      done = true;
      connectedPeer = peer;
      pendingPeers.forEach(slower -> paths.peerOvertaken(target, slower));
      long millis = TimeUnit.NANOSECONDS.toMillis(loop.ticker().nanoTime() - startedAt);
      paths.peerConnected(target, requestId, peer, millis);
      confirmLoss();
      connector.prepareTunnel(channel, target, peer);
      listener.connected(channel);
    }

    @Override
    public void refused(TunnelRefusal refusal) {
      pendingPeers.remove(peer);
      paths.peerRefused(target, requestId, peer, refusal);
      isPathLostAtPeer |= refusal.kind() == TunnelRefusal.Kind.PATH_LOST;
      isPathSuspect |= isPathLostAtPeer;
      isRefusedToPeer |= TunnelRefusal.isConnectionRefused(refusal.reason());
      if (reason == null) {
        reason = peer + ": " + refusal.reason();
      }
      askNextPeer();
      failIfOver();
    }
  }
}
