package io.samphiredyke.gateway.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.AttributeKey;
import io.samphiredyke.gateway.tunnel.TunnelClient;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.ResponseDecoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Pool of persistent connections to endpoints.
 *
 * <p>An idle connection is closed well before the endpoint's idle timeout. It is closed immediately
 * if data or a close arrives while it carries no request, see {@link ResponseDecoder}. A request is
 * never sent on a connection that has carried its id before, see {@link CarriedIds}.
 */
public final class EndpointConnectionPool {

  /** Idle timeout for endpoints that do not state one. */
  private static final long DEFAULT_IDLE_MILLIS = 2_000;

  /** Safety margin by which a connection is closed before the stated timeout. */
  private static final long IDLE_MARGIN_MILLIS = 600;

  /** Maximum number of idle connections per endpoint; engines run only a few requests at once. */
  private static final int MAX_IDLE = 6;

  private static final AttributeKey<IdleState> IDLE_STATE = AttributeKey.valueOf("kept");

  private static final AttributeKey<CarriedIds> CARRIED = AttributeKey.valueOf("carried");

  /** The peer through which a connection goes; direct connections have none. */
  private static final AttributeKey<Detour> DETOUR = AttributeKey.valueOf("detour");

  /**
   * Time in which the loss of a path is confirmed; older connections through peers are reused only
   * while it is lost.
   */
  private static final long CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The peer through which a connection goes and when it was opened. */
  private record Detour(String peer, long openedAt) {}

  /** The endpoint address of a connection and when the connection expires. */
  private record IdleState(String address, long expiresAt) {}

  private final EventLoop loop;
  private final HostPaths paths;
  private final SilenceMonitor silence;
  private final EndpointConnector connector;
  private final LivenessProbes liveness;
  private final OpenConnections open = new OpenConnections();
  private final Map<String, Deque<Channel>> idle = new HashMap<>();
  private long surplusResponses;
  private long responsesWithoutId;

  /** Creates an empty pool whose connections run on a loop. */
  public EndpointConnectionPool(EventLoop loop) {
    this(loop, SocketAddresses::parse);
  }

  private EndpointConnectionPool(EventLoop loop, AddressResolver resolver) {
    this(
        loop,
        resolver,
        new HostPaths(
            loop,
            new TunnelClient(loop, ""),
            List::of,
            new SplittableRandom(),
            (event, fields) -> {}));
  }

  /**
   * Creates an empty pool.
   *
   * @param resolver resolves the addresses of endpoints for direct connections
   * @param paths paths to the endpoints
   */
  public EndpointConnectionPool(EventLoop loop, AddressResolver resolver, HostPaths paths) {
    this.loop = loop;
    this.paths = paths;
    this.silence = new SilenceMonitor(loop);
    this.connector = new EndpointConnector(loop, resolver, paths, silence, this);
    this.liveness = new LivenessProbes(loop, this, connector);
  }

  /** Sends a request, on an idle connection if there is one that may carry it. */
  public EndpointExchange open(
      EndpointTarget target, OutgoingRequest request, ExchangeListener listener) {
    Channel reused = takeIdle(target.address(), request.requestId());
    EndpointExchange exchange =
        new EndpointExchange(this, target, request, listener, reused != null);
    if (reused != null) {
      exchange.send(reused);
      return exchange;
    }
    connector.connect(target, request.requestId(), exchange);
    return exchange;
  }

  /** Returns the questions whether the processes of endpoints still run. */
  public LivenessProbes liveness() {
    return liveness;
  }

  /** Returns whether a direct connection to an endpoint is open that was open before a time. */
  boolean hasOpenSince(String address, long time) {
    return open.hasOpenSince(address, time);
  }

  /** Prepares a new connection for exchanges. */
  void initialize(Channel channel, String address) {
    channel.attr(IDLE_STATE).set(new IdleState(address, 0));
    channel.attr(CARRIED).set(new CarriedIds());
    if (peerOf(channel) == null) {
      channel.pipeline().addLast(silence.handler(channel, address));
    }
    channel.pipeline().addLast(new ResponseDecoder(() -> surplusResponses++));
    channel.pipeline().addLast(new HttpRequestEncoder());
    channel.pipeline().addLast(new IdleGuard());
  }

  /** Returns the time of the event loop, nanoseconds. */
  long now() {
    return loop.ticker().nanoTime();
  }

  /** Records that a connection carries a request, and returns what it has carried. */
  CarriedIds carries(Channel channel, String requestId) {
    CarriedIds carried = channel.attr(CARRIED).get();
    carried.add(requestId);
    return carried;
  }

  /** Takes an idle connection that may carry a request with an id, null if there is none. */
  @Nullable Channel takeIdle(String address, String requestId) {
    Deque<Channel> connections = idle.get(address);
    if (connections == null) {
      return null;
    }
    Iterator<Channel> newestFirst = connections.descendingIterator();
    while (newestFirst.hasNext()) {
      Channel channel = newestFirst.next();
      if (!channel.isActive() || !isUsable(channel)) {
        newestFirst.remove();
        channel.close();
      } else if (channel.attr(CARRIED).get().permits(requestId)) {
        newestFirst.remove();
        return channel;
      }
    }
    return null;
  }

  private boolean isUsable(Channel channel) {
    IdleState state = channel.attr(IDLE_STATE).get();
    return state != null && loop.ticker().nanoTime() - state.expiresAt() < 0;
  }

  void release(Channel channel, int keepAliveSeconds) {
    IdleState state = channel.attr(IDLE_STATE).get();
    Deque<Channel> connections = idle.computeIfAbsent(state.address(), key -> new ArrayDeque<>());
    boolean isKept =
        channel.isActive() && !channel.attr(CARRIED).get().isFull() && !isUnneeded(channel, state);
    if (!isKept || connections.size() >= MAX_IDLE) {
      channel.close();
      return;
    }
    long millis =
        keepAliveSeconds < 0
            ? DEFAULT_IDLE_MILLIS
            : Math.max(
                TimeUnit.SECONDS.toMillis(keepAliveSeconds) / 3,
                TimeUnit.SECONDS.toMillis(keepAliveSeconds) - IDLE_MARGIN_MILLIS);
    long expiresAt = loop.ticker().nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    channel.attr(IDLE_STATE).set(new IdleState(state.address(), expiresAt));
    connections.addLast(channel);
  }

  private boolean isUnneeded(Channel channel, IdleState state) {
    Detour detour = channel.attr(DETOUR).get();
    return detour != null
        && loop.ticker().nanoTime() - detour.openedAt() >= CONFIRMATION_NANOS
        && !paths.isLost(state.address());
  }

  /** Closes the idle connections that have expired. */
  public void closeExpired() {
    Iterator<Deque<Channel>> addresses = idle.values().iterator();
    while (addresses.hasNext()) {
      Deque<Channel> connections = addresses.next();
      while (!connections.isEmpty() && !isUsable(connections.peekFirst())) {
        connections.pollFirst().close();
      }
      if (connections.isEmpty()) {
        addresses.remove();
      }
    }
  }

  /** Closes all idle connections, for example after a pause in which they may have been lost. */
  public void closeIdle() {
    idle.values().forEach(connections -> connections.forEach(Channel::close));
    idle.clear();
  }

  /** Closes the idle connections to an endpoint. */
  public void closeIdle(String address) {
    Deque<Channel> connections = idle.remove(address);
    if (connections != null) {
      connections.forEach(Channel::close);
    }
  }

  /** Closes idle connections to an endpoint, either the direct ones or those through peers. */
  void closeIdle(String address, boolean areDirect) {
    Deque<Channel> connections = idle.get(address);
    if (connections != null) {
      for (Channel channel : List.copyOf(connections)) {
        if ((peerOf(channel) == null) == areDirect) {
          connections.remove(channel);
          channel.close();
        }
      }
    }
  }

  /** Forgets what is known about the paths to an endpoint that has left. */
  public void forget(String address) {
    closeIdle(address);
    paths.endpoints().forget(address);
  }

  /** Probes lost paths that are due and closes idle connections through peers that have left. */
  public void checkPaths() {
    connector.probeLostPaths();
    Set<String> live = null;
    for (Deque<Channel> connections : idle.values()) {
      for (Channel channel : List.copyOf(connections)) {
        String peer = peerOf(channel);
        if (peer == null) {
          continue;
        }
        live = live == null ? new HashSet<>(paths.livePeers()) : live;
        if (!live.contains(peer)) {
          connections.remove(channel);
          channel.close();
        }
      }
    }
  }

  /** Returns the peer through which a connection goes, or null. */
  static @Nullable String peerOf(Channel channel) {
    Detour detour = channel.attr(DETOUR).get();
    return detour == null ? null : detour.peer();
  }

  /** Prepares a new connection through a peer for exchanges. */
  void initializeTunnel(Channel channel, String address, String peer) {
    channel.attr(DETOUR).set(new Detour(peer, loop.ticker().nanoTime()));
    initialize(channel, address);
  }

  boolean isPathLost(String address) {
    return paths.isLost(address);
  }

  /** Called when a request is sent on a connection. */
  void sent(EndpointExchange exchange, EndpointTarget target, String requestId, Channel channel) {
    String peer = peerOf(channel);
    if (peer != null) {
      paths.sentThrough(target, requestId, peer, exchange.isReused());
    } else if (exchange.isReused()) {
      connector.watch(exchange, target);
    }
  }

  /** Called when a request on a direct connection that had been idle is given up. */
  void givenUp(EndpointTarget target, long sentAt) {
    if (silence.isSilentSince(target.address(), sentAt)) {
      closeIdle(target.address(), true);
    }
  }

  /** Returns the number of connections opened so far. */
  public long openedConnections() {
    return connector.openedConnections();
  }

  /** Returns the number of connections on which data arrived beyond a response. */
  public long surplusResponses() {
    return surplusResponses;
  }

  /** Counts a response without id, whose connection is closed. */
  void receivedWithoutId() {
    responsesWithoutId++;
  }

  /** Returns the number of responses without the id of a request. */
  public long responsesWithoutId() {
    return responsesWithoutId;
  }

  /** Records an open connection and removes an idle one that ends. */
  private final class IdleGuard extends ChannelDuplexHandler {

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      open.add(ctx.channel(), ctx.channel().attr(IDLE_STATE).get().address(), now());
      ctx.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      IdleState state = ctx.channel().attr(IDLE_STATE).get();
      Deque<Channel> connections = idle.get(state.address());
      if (connections != null) {
        connections.remove(ctx.channel());
      }
      ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (ctx.pipeline().last() == this) {
        ctx.close();
        return;
      }
      ctx.fireExceptionCaught(cause);
    }
  }
}
