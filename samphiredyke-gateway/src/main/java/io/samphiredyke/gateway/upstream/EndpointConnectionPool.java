package io.samphiredyke.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.AttributeKey;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.ResponseDecoder;
import io.samphiredyke.net.http.TcpKeepAlive;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Pool of persistent connections to endpoints.
 *
 * <p>An idle connection is closed well before the endpoint's idle timeout. It is closed immediately
 * if data or a close arrives while it carries no request, see {@link ResponseDecoder}.
 */
public final class EndpointConnectionPool {

  /** Connect timeout; within a region, connecting takes a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** Idle timeout for endpoints that do not state one. */
  private static final long DEFAULT_IDLE_MILLIS = 2_000;

  /** Safety margin by which a connection is closed before the stated timeout. */
  private static final long IDLE_MARGIN_MILLIS = 600;

  /** Maximum number of idle connections per endpoint; engines run only a few requests at once. */
  private static final int MAX_IDLE = 6;

  private static final AttributeKey<IdleState> IDLE_STATE = AttributeKey.valueOf("kept");

  /** The endpoint address of a connection and when the connection expires. */
  private record IdleState(String address, long expiresAt) {}

  private final EventLoop loop;
  private final AddressResolver resolver;
  private final Map<String, Deque<Channel>> idle = new HashMap<>();
  private long openedConnections;
  private long surplusResponses;
  private long responsesWithoutId;

  /** Creates an empty pool whose connections run on a loop. */
  public EndpointConnectionPool(EventLoop loop) {
    this(loop, SocketAddresses::parse);
  }

  /** Creates an empty pool that connects to endpoints at resolved addresses. */
  public EndpointConnectionPool(EventLoop loop, AddressResolver resolver) {
    this.loop = loop;
    this.resolver = resolver;
  }

  /**
   * Sends a request.
   *
   * @param mayReuse whether an idle connection may be used
   */
  public EndpointExchange open(
      String address, OutgoingRequest request, boolean mayReuse, ExchangeListener listener) {
    Channel reused = mayReuse ? takeIdle(address) : null;
    EndpointExchange exchange = new EndpointExchange(this, request, listener, reused != null);
    if (reused != null) {
      exchange.send(reused);
      return exchange;
    }
    openedConnections++;
    ChannelFuture connecting = bootstrap(address).connect(resolver.resolve(address));
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            exchange.send(connecting.channel());
          } else {
            exchange.connectFailed(String.valueOf(done.cause().getMessage()));
          }
        });
    return exchange;
  }

  private Bootstrap bootstrap(String address) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    initialize(channel, address);
                  }
                });
    return TcpKeepAlive.enable(bootstrap);
  }

  /** Prepares a new connection for exchanges. */
  void initialize(Channel channel, String address) {
    channel.attr(IDLE_STATE).set(new IdleState(address, 0));
    channel.pipeline().addLast(new ResponseDecoder(() -> surplusResponses++));
    channel.pipeline().addLast(new HttpRequestEncoder());
    channel.pipeline().addLast(new IdleGuard());
  }

  private @Nullable Channel takeIdle(String address) {
    Deque<Channel> connections = idle.get(address);
    while (connections != null && !connections.isEmpty()) {
      Channel channel = connections.pollLast();
      if (channel.isActive() && isUsable(channel)) {
        return channel;
      }
      channel.close();
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
    if (!channel.isActive() || connections.size() >= MAX_IDLE) {
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

  /** Returns the number of connections opened so far. */
  public long openedConnections() {
    return openedConnections;
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

  /** Removes an idle connection that ends. */
  private final class IdleGuard extends ChannelDuplexHandler {

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
