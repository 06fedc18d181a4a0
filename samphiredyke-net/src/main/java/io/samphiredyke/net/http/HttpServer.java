package io.samphiredyke.net.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** An HTTP/1.1 server on one listening socket. */
public final class HttpServer {

  private final Channel listener;
  private final ChannelGroup connections;

  private HttpServer(Channel listener, ChannelGroup connections) {
    this.listener = listener;
    this.connections = connections;
  }

  /**
   * Binds an address and starts to serve requests.
   *
   * @return the server; fails with {@link java.net.BindException} if the address is in use
   */
  public static CompletableFuture<HttpServer> start(
      EventLoopGroup group,
      InetSocketAddress address,
      HttpServerOptions options,
      HttpHandler handler) {
    ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childHandler(new Initializer(options, handler, connections, memories(group, options)));
    CompletableFuture<HttpServer> started = new CompletableFuture<>();
    ChannelFuture bind = TcpProfile.UNPROBED.accepted(bootstrap).bind(address);
    bind.addListener(
        done -> {
          if (done.isSuccess()) {
            started.complete(new HttpServer(bind.channel(), connections));
          } else {
            started.completeExceptionally(done.cause());
          }
        });
    return started;
  }

  private static Function<EventLoop, ClientMemory> memories(
      EventLoopGroup group, HttpServerOptions options) {
    ClientMemory shared = options.memory();
    return shared == null ? new LoopMemories(group, options.maxBodyBytes())::of : loop -> shared;
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Closes the listening socket; open connections stay open. */
  public CompletableFuture<Void> stopAccepting() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    listener.close().addListener(closed -> completeAfterSelection(stopped));
    return stopped;
  }

  /** Closes the listening socket and all connections. */
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    listener
        .close()
        .addListener(
            closed -> connections.close().addListener(done -> completeAfterSelection(stopped)));
    return stopped;
  }

  /**
   * Completes a future when the closed listening socket no longer accepts connections.
   *
   * <p>The channel only cancels its selection key; the operating system's socket is closed at the
   * next selection of its event loop. A task that the loop itself schedules runs after that
   * selection; one that another thread schedules may run before it. If the event loop is shut down
   * the task is rejected or cancelled, and the selector closes the socket with it.
   */
  private void completeAfterSelection(CompletableFuture<Void> stopped) {
    EventLoop loop = listener.eventLoop();
    try {
      loop.execute(
          () ->
              loop.schedule(() -> {}, 1, TimeUnit.NANOSECONDS)
                  .addListener(done -> stopped.complete(null)));
    } catch (RejectedExecutionException e) {
      stopped.complete(null);
    }
  }

  private static final class Initializer extends ChannelInitializer<SocketChannel> {

    private final HttpServerOptions options;
    private final HttpHandler handler;
    private final ChannelGroup connections;
    private final Function<EventLoop, ClientMemory> memories;
    private final Map<EventLoop, ConnectionLimit<ServerConnection>> limits =
        new ConcurrentHashMap<>();

    Initializer(
        HttpServerOptions options,
        HttpHandler handler,
        ChannelGroup connections,
        Function<EventLoop, ClientMemory> memories) {
      this.options = options;
      this.handler = handler;
      this.connections = connections;
      this.memories = memories;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      connections.add(channel);
      SslContext tls = options.tls();
      if (tls != null) {
        channel.pipeline().addLast(tls.newHandler(channel.alloc()));
      }
      RequestDecoder decoder = new RequestDecoder(options.maxHeaderBytes());
      ServerConnection connection =
          new ServerConnection(
              options, handler, decoder, memories.apply(channel.eventLoop()), limitOf(channel));
      channel
          .pipeline()
          .addLast(new RequestHeadTimeoutHandler(connection, options.requestTimeout()));
      channel.pipeline().addLast(decoder);
      channel.pipeline().addLast(new ResponseEncoder(decoder));
      long idleMillis = options.idleTimeout().toMillis();
      channel
          .pipeline()
          .addLast(new IdleStateHandler(true, idleMillis, idleMillis, 0, TimeUnit.MILLISECONDS));
      channel.pipeline().addLast(connection);
      limitOf(channel).opened(connection);
    }

    private ConnectionLimit<ServerConnection> limitOf(SocketChannel channel) {
      return limits.computeIfAbsent(
          channel.eventLoop(),
          loop -> new ConnectionLimit<>(options.maxConnections(), options.displaced()));
    }
  }
}
