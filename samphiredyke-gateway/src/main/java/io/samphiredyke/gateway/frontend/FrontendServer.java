package io.samphiredyke.gateway.frontend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.http.ClientMemory;
import io.samphiredyke.net.http.ConnectionLimit;
import io.samphiredyke.net.http.RequestDecoder;
import io.samphiredyke.net.http.ResponseEncoder;
import io.samphiredyke.net.http.TcpProfile;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** HTTP server for callers. All methods must be called on its event loop. */
public final class FrontendServer {

  /** Bytes buffered for a slow caller before back pressure is applied to its endpoint. */
  private static final WriteBufferWaterMark WATER_MARK =
      new WriteBufferWaterMark(32 * 1024, 128 * 1024);

  private static final int BACKLOG = 1_024;
  private static final int MIN_READ_BYTES = 2 * 1024;
  private static final int MAX_READ_BYTES = 16 * 1024;

  private final EventLoop loop;
  private final RequestHandler handler;
  private final Supplier<CallerLimits> limits;
  private final ClientMemory memory;
  private final DecisionLog log;
  private final ConnectionLimit<FrontendConnection> connections;
  private @Nullable Channel listener;
  private boolean draining;

  /**
   * Creates a server that is not bound yet.
   *
   * @param memory memory of all clients of the process
   * @param maxConnections connections that may be open at once
   */
  public FrontendServer(
      EventLoop loop,
      RequestHandler handler,
      Supplier<CallerLimits> limits,
      ClientMemory memory,
      int maxConnections,
      DecisionLog log) {
    this.memory = memory;
    this.connections =
        new ConnectionLimit<>(
            maxConnections,
            (stage, open) ->
                log.event("connection_displaced", "stage", stage.name(), "open", open));
    this.log = log;
    this.loop = loop;
    this.handler = handler;
    this.limits = limits;
  }

  /** Binds an address and accepts connections. */
  public CompletableFuture<Void> start(InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES))
            .childHandler(new Initializer());
    ChannelFuture bind = TcpProfile.UNPROBED.accepted(bootstrap).bind(address);
    CompletableFuture<Void> started = new CompletableFuture<>();
    bind.addListener(
        done -> {
          if (done.isSuccess()) {
            listener = bind.channel();
            started.complete(null);
          } else {
            started.completeExceptionally(done.cause());
          }
        });
    return started;
  }

  /** Closes connections that have been idle for too long or that send a request too slowly. */
  public void closeExpired() {
    long now = loop.ticker().nanoTime();
    for (FrontendConnection connection : connections.open()) {
      connection.checkTimeouts(limits.get(), now);
    }
  }

  /**
   * Starts draining: each connection is closed after its next response, which announces it. If
   * other requests have been received by then, they are responded to first.
   */
  public void drain() {
    draining = true;
  }

  /** Stops accepting connections and closes the idle ones. */
  public void stopAccepting() {
    Channel open = listener;
    if (open != null) {
      open.close();
    }
    connections.open().forEach(FrontendConnection::closeIfIdle);
  }

  boolean isDraining() {
    return draining;
  }

  CallerLimits limits() {
    return limits.get();
  }

  ClientMemory memory() {
    return memory;
  }

  DecisionLog log() {
    return log;
  }

  RequestHandler handler() {
    return handler;
  }

  void closed(FrontendConnection connection) {
    connections.ended(connection);
  }

  void becameIdle(FrontendConnection connection) {
    connections.becameIdle(connection);
  }

  /** Returns the number of connections that were closed because too many were open. */
  public long displacedConnections() {
    return connections.closed();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return connections.size();
  }

  /** Returns the number of connections with a request or a response that is not yet sent. */
  public int busyConnections() {
    int busy = 0;
    for (FrontendConnection connection : connections.open()) {
      busy += connection.isBusy() ? 1 : 0;
    }
    return busy;
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {

    @Override
    protected void initChannel(SocketChannel channel) {
      RequestDecoder decoder = new RequestDecoder(limits().maxHeaderBytes());
      FrontendConnection connection = new FrontendConnection(FrontendServer.this, decoder);
      channel.pipeline().addLast(connection.inputHandler());
      channel.pipeline().addLast(decoder);
      channel.pipeline().addLast(new ResponseEncoder(decoder));
      channel.pipeline().addLast(connection);
      connections.opened(connection);
    }
  }
}
