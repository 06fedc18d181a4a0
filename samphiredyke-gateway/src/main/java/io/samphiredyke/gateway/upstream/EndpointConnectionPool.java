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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.TcpKeepAlive;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Connections to endpoints, kept between requests.
 *
 * <p>A kept connection is dropped well before the endpoint's idle timeout, and at once when bytes
 * or a close arrive while no request is on it.
 */
public final class EndpointConnectionPool {

  /** Connect timeout; within a region a connection takes a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** How long a connection is kept idle if the endpoint states no timeout, milliseconds. */
  private static final long UNKNOWN_IDLE_MILLIS = 2_000;

  /** Time by which a connection is dropped before the stated timeout, milliseconds. */
  private static final long IDLE_MARGIN_MILLIS = 600;

  /** Idle connections kept for each endpoint; engines run a handful of requests at once. */
  private static final int MAX_IDLE = 6;

  private static final AttributeKey<Kept> KEPT = AttributeKey.valueOf("kept");

  /** An idle connection and when it must no longer be used. */
  private record Kept(String address, long usableUntil) {}

  private final EventLoop loop;
  private final Map<String, Deque<Channel>> idle = new HashMap<>();
  private long opened;

  /** Creates an empty pool whose connections run on a loop. */
  public EndpointConnectionPool(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Sends a request.
   *
   * @param mayUseKept whether a kept connection may be used
   */
  public EndpointExchange open(
      String address, OutgoingRequest request, boolean mayUseKept, ExchangeListener listener) {
    Channel kept = mayUseKept ? takeIdle(address) : null;
    EndpointExchange exchange = new EndpointExchange(this, request, listener, kept != null);
    if (kept != null) {
      exchange.send(kept);
      return exchange;
    }
    opened++;
    ChannelFuture connecting = bootstrap(address).connect(SocketAddresses.parse(address));
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
                    channel.attr(KEPT).set(new Kept(address, 0));
                    channel.pipeline().addLast(new HttpClientCodec());
                    channel.pipeline().addLast(new IdleGuard());
                  }
                });
    return TcpKeepAlive.enable(bootstrap);
  }

  private @Nullable Channel takeIdle(String address) {
    Deque<Channel> kept = idle.get(address);
    while (kept != null && !kept.isEmpty()) {
      Channel channel = kept.pollLast();
      if (channel.isActive() && isUsable(channel)) {
        return channel;
      }
      channel.close();
    }
    return null;
  }

  private boolean isUsable(Channel channel) {
    Kept entry = channel.attr(KEPT).get();
    return entry != null && loop.ticker().nanoTime() - entry.usableUntil() < 0;
  }

  void keep(Channel channel, int keepAliveSeconds) {
    Kept entry = channel.attr(KEPT).get();
    Deque<Channel> kept = idle.computeIfAbsent(entry.address(), key -> new ArrayDeque<>());
    if (!channel.isActive() || kept.size() >= MAX_IDLE) {
      channel.close();
      return;
    }
    long millis =
        keepAliveSeconds < 0
            ? UNKNOWN_IDLE_MILLIS
            : Math.max(
                TimeUnit.SECONDS.toMillis(keepAliveSeconds) / 3,
                TimeUnit.SECONDS.toMillis(keepAliveSeconds) - IDLE_MARGIN_MILLIS);
    long until = loop.ticker().nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    channel.attr(KEPT).set(new Kept(entry.address(), until));
    kept.addLast(channel);
  }

  /** Closes the idle connections whose time is over. */
  public void sweep() {
    Iterator<Deque<Channel>> addresses = idle.values().iterator();
    while (addresses.hasNext()) {
      Deque<Channel> kept = addresses.next();
      while (!kept.isEmpty() && !isUsable(kept.peekFirst())) {
        kept.pollFirst().close();
      }
      if (kept.isEmpty()) {
        addresses.remove();
      }
    }
  }

  /** Closes all idle connections, after something made them doubtful. */
  public void dropIdle() {
    idle.values().forEach(kept -> kept.forEach(Channel::close));
    idle.clear();
  }

  /** Closes the idle connections to an endpoint. */
  public void dropIdle(String address) {
    Deque<Channel> kept = idle.remove(address);
    if (kept != null) {
      kept.forEach(Channel::close);
    }
  }

  /** Returns how many connections were opened. */
  public long opened() {
    return opened;
  }

  /** Closes a connection on which something arrives while it is idle. */
  private final class IdleGuard extends ChannelDuplexHandler {

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (ctx.pipeline().last() == this) {
        ReferenceCountUtil.release(message);
        ctx.close();
        return;
      }
      ctx.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      Kept entry = ctx.channel().attr(KEPT).get();
      Deque<Channel> kept = idle.get(entry.address());
      if (kept != null) {
        kept.remove(ctx.channel());
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
