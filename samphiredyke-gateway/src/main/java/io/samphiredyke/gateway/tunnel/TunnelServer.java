package io.samphiredyke.gateway.tunnel;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.samphiredyke.core.path.EndpointPaths;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.net.http.TcpProfile;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Opens tunnels to endpoints for hosts that don't reach them.
 *
 * <p>A tunnel passes bytes only. It ends at an endpoint that this host knows and connects to
 * itself, never at another host. All methods must be called on the event loop.
 */
public final class TunnelServer {

  /** Maximum number of tunnels, those included that are being opened. */
  static final int MAX_TUNNELS = 128;

  /** Maximum number of connections, those included that have not sent a request. */
  private static final int MAX_CONNECTIONS = 2 * MAX_TUNNELS;

  static final int CONNECT_TIMEOUT_MILLIS = 400;
  static final int HEAD_TIMEOUT_MILLIS = 1_000;
  static final int HIGH_WATER_MARK_BYTES = 32 * 1024;

  /** Receive buffer of each connection; the operating system's own limit may be many megabytes. */
  private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

  /** Time after which a host that has left is taken as gone; overloaded hosts return sooner. */
  private static final long ABANDONED_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final WriteBufferWaterMark WATER_MARK =
      new WriteBufferWaterMark(HIGH_WATER_MARK_BYTES / 2, HIGH_WATER_MARK_BYTES);

  private static final int MIN_READ_BYTES = 64;
  private static final int INITIAL_READ_BYTES = 2 * 1024;
  private static final int MAX_READ_BYTES = 16 * 1024;

  /** A tunnel that is open or being opened. */
  private static final class Tunnel {
    private final TunnelRequest request;
    private final long startedAt;
    private boolean hasBeenLive;
    private long lastLiveAt;

    Tunnel(TunnelRequest request, long startedAt) {
      this.request = request;
      this.startedAt = startedAt;
    }
  }

  private final EventLoop loop;
  private final EndpointLookup endpoints;
  private final EndpointPaths paths;
  private final Function<String, InetSocketAddress> resolver;
  private final Supplier<List<String>> livePeers;
  private final EventSink log;
  private final Map<Channel, Tunnel> tunnels = new HashMap<>();
  private int connections;
  private boolean draining;
  private long opened;
  private long refused;

  /**
   * Creates a server that is not bound yet.
   *
   * @param paths paths of this host
   * @param resolver resolves the registered addresses of endpoints
   * @param livePeers peer addresses of the hosts that are alive
   */
  public TunnelServer(
      EventLoop loop,
      EndpointLookup endpoints,
      EndpointPaths paths,
      Function<String, InetSocketAddress> resolver,
      Supplier<List<String>> livePeers,
      EventSink log) {
    this.loop = loop;
    this.endpoints = endpoints;
    this.paths = paths;
    this.resolver = resolver;
    this.livePeers = livePeers;
    this.log = log;
  }

  /**
   * Binds an address. A host that can't bind it serves its callers without opening tunnels for
   * others, so the returned future always completes with the bound address or null.
   */
  public CompletableFuture<@Nullable SocketAddress> start(InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, MAX_CONNECTIONS)
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers())
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel);
                  }
                });
    CompletableFuture<@Nullable SocketAddress> started = new CompletableFuture<>();
    ChannelFuture bind = TcpProfile.PROBED.accepted(bootstrap).bind(address);
    bind.addListener(
        done -> {
          if (!done.isSuccess()) {
            log.event("tunnel_listen_failed", "reason", String.valueOf(done.cause()));
          }
          started.complete(done.isSuccess() ? bind.channel().localAddress() : null);
        });
    return started;
  }

  private static AdaptiveRecvByteBufAllocator receiveBuffers() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
  }

  private void accept(SocketChannel channel) {
    connections++;
    channel.closeFuture().addListener(done -> connections--);
    if (connections > MAX_CONNECTIONS) {
      channel.close();
      return;
    }
    channel.pipeline().addLast(new RequestReader());
  }

  private @Nullable String refusal(TunnelRequest request) {
    if (draining) {
      return TunnelResponse.STOPPING;
    }
    if (tunnels.size() >= MAX_TUNNELS) {
      return TunnelResponse.LIMIT;
    }
    EndpointRecord endpoint = endpoints.find(request.endpointId());
    if (endpoint == null || !endpoint.address().equals(request.address())) {
      return TunnelResponse.UNKNOWN_ENDPOINT;
    }
    return paths.isLost(request.address(), now()) ? TunnelResponse.PATH_LOST : null;
  }

  private long now() {
    return loop.ticker().nanoTime();
  }

  private void open(Channel caller, TunnelRequest request) {
    String refusal = refusal(request);
    if (refusal != null) {
      refuse(caller, request, refusal);
      return;
    }
    Tunnel tunnel = new Tunnel(request, now());
    tunnels.put(caller, tunnel);
    caller.closeFuture().addListener(done -> tunnels.remove(caller));
    ChannelFuture connecting;
    try {
      connecting = bootstrap(caller).connect(resolver.apply(request.address()));
    } catch (IllegalArgumentException e) {
      refuse(caller, request, String.valueOf(e.getMessage()));
      return;
    }
    connecting.addListener(
        done -> {
          if (!caller.isActive()) {
            connecting.channel().close();
          } else if (done.isSuccess()) {
            relay(caller, connecting.channel(), tunnel);
          } else {
            refuse(caller, request, String.valueOf(done.cause().getMessage()));
          }
        });
  }

  private Bootstrap bootstrap(Channel caller) {
    return TcpProfile.PROBED.opened(
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
            .option(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers())
            .handler(new RelayHandler(caller, true)),
        Duration.ofMillis(CONNECT_TIMEOUT_MILLIS));
  }

  private void relay(Channel caller, Channel target, Tunnel tunnel) {
    opened++;
    logDecision("tunnel_opened", tunnel.request, "ms", millisSince(tunnel.startedAt));
    caller.pipeline().replace(RequestReader.class, "relay", new RelayHandler(target, false));
    write(caller, TunnelResponse.opened(tunnel.request.wantsFrames()));
    if (tunnel.request.wantsFrames()) {
      TunnelFraming.addEncoder(caller.pipeline());
    }
    target.config().setAutoRead(true);
  }

  private long millisSince(long start) {
    return TimeUnit.NANOSECONDS.toMillis(now() - start);
  }

  private void refuse(Channel caller, TunnelRequest request, String reason) {
    refused++;
    logDecision("tunnel_refused", request, "reason", reason);
    write(caller, TunnelResponse.refused(reason)).addListener(ChannelFutureListener.CLOSE);
  }

  private static ChannelFuture write(Channel channel, String head) {
    return channel.writeAndFlush(Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1));
  }

  private void logDecision(String event, TunnelRequest request, String field, Object value) {
    log.event(
        event,
        "id",
        request.requestId(),
        "endpoint",
        request.endpointId(),
        "address",
        request.address(),
        "for",
        request.from(),
        field,
        value);
  }

  /** Closes the tunnels of hosts that have left, whose connections may never report it. */
  public void closeAbandoned() {
    if (tunnels.isEmpty()) {
      return;
    }
    Set<String> live = new HashSet<>(livePeers.get());
    for (Map.Entry<Channel, Tunnel> entry : List.copyOf(tunnels.entrySet())) {
      Tunnel tunnel = entry.getValue();
      if (live.contains(tunnel.request.from())) {
        tunnel.hasBeenLive = true;
        tunnel.lastLiveAt = now();
      } else if (tunnel.hasBeenLive && now() - tunnel.lastLiveAt >= ABANDONED_NANOS) {
        logDecision("tunnel_abandoned", tunnel.request, "reason", "the host has left");
        entry.getKey().close();
      }
    }
  }

  /** Refuses all further tunnels; the open ones remain. */
  public void drain() {
    draining = true;
  }

  /** Returns the number of tunnels that are open or being opened. */
  public int openTunnels() {
    return tunnels.size();
  }

  /** Returns the number of tunnels opened so far. */
  public long opened() {
    return opened;
  }

  /** Returns the number of requests for tunnels that were refused or failed so far. */
  public long refused() {
    return refused;
  }

  private final class RequestReader extends HeadReader {

    RequestReader() {
      super(HEAD_TIMEOUT_MILLIS);
    }

    @Override
    void onHead(ChannelHandlerContext ctx, String received) {
      TunnelRequest request = TunnelRequest.decode(received);
      if (request == null) {
        onMalformed(ctx, "a malformed head");
      } else {
        open(ctx.channel(), request);
      }
    }

    @Override
    void onMalformed(ChannelHandlerContext ctx, String reason) {
      refused++;
      SocketAddress from = ctx.channel().remoteAddress();
      log.event("tunnel_malformed", "from", String.valueOf(from), "reason", reason);
      ctx.close();
    }
  }
}
