package io.samphiredyke.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.ssl.SslContext;
import io.netty.util.AttributeKey;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP/1.1 client that keeps idle connections.
 *
 * <p>A request is sent on a kept connection only if the connection was idle for a short time. The
 * client never sends a request twice.
 */
public final class HttpClient implements AutoCloseable {

  private static final AttributeKey<Long> IDLE_SINCE = AttributeKey.valueOf("idleSince");

  private final EventLoopGroup group;
  private final HttpClientOptions options;
  private final Map<InetSocketAddress, Deque<Channel>> idle = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /** Creates a client whose connections run on the given event loops. */
  public HttpClient(EventLoopGroup group, HttpClientOptions options) {
    this.group = group;
    this.options = options;
  }

  /**
   * Sends a request and collects the whole answer.
   *
   * @return the answer of any status; fails with {@link ConnectFailedException} if nothing was sent
   */
  public CompletableFuture<HttpResponse> send(HttpRequest request) {
    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    open(request, new Collector(response, options.maxBodyBytes()));
    return response;
  }

  /**
   * Sends a request and streams the answer to a listener.
   *
   * @return a handle to close the stream with
   */
  public HttpStream open(HttpRequest request, StreamListener listener) {
    ClientExchange exchange = new ClientExchange(this, request, listener);
    Channel kept = takeIdle(request.address());
    if (kept != null) {
      exchange.start(kept);
      return exchange;
    }
    connect(request.address(), exchange);
    return exchange;
  }

  private void connect(InetSocketAddress address, ClientExchange exchange) {
    long connectMillis = options.connectTimeout().toMillis();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectMillis)
            .handler(new Initializer(options.tls()));
    ChannelFuture connecting = TcpKeepAlive.enable(bootstrap).connect(address);
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            exchange.start(connecting.channel());
          } else {
            exchange.connectFailed(new ConnectFailedException(address, done.cause()));
          }
        });
  }

  private @Nullable Channel takeIdle(InetSocketAddress address) {
    Deque<Channel> kept = idle.get(address);
    if (kept == null) {
      return null;
    }
    synchronized (kept) {
      while (true) {
        Channel channel = kept.pollLast();
        if (channel == null) {
          return null;
        }
        if (isFresh(channel)) {
          return channel;
        }
        channel.close();
      }
    }
  }

  private boolean isFresh(Channel channel) {
    Long since = channel.attr(IDLE_SINCE).get();
    long now = channel.eventLoop().ticker().nanoTime();
    return channel.isActive() && since != null && now - since < options.maxIdleTime().toNanos();
  }

  void keep(InetSocketAddress address, Channel channel) {
    if (closed || !channel.isActive()) {
      channel.close();
      return;
    }
    channel.attr(IDLE_SINCE).set(channel.eventLoop().ticker().nanoTime());
    Deque<Channel> kept = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
    synchronized (kept) {
      if (kept.size() < options.maxIdlePerAddress()) {
        kept.addLast(channel);
        return;
      }
    }
    channel.close();
  }

  void scheduleTimeout(Channel channel, Runnable action, long nanos) {
    channel.eventLoop().schedule(action, nanos, TimeUnit.NANOSECONDS);
  }

  @Override
  public void close() {
    closed = true;
    idle.values()
        .forEach(
            kept -> {
              synchronized (kept) {
                kept.forEach(Channel::close);
                kept.clear();
              }
            });
  }

  private static final class Initializer extends ChannelInitializer<SocketChannel> {

    private final @Nullable SslContext tls;

    Initializer(@Nullable SslContext tls) {
      this.tls = tls;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      if (tls != null) {
        channel.pipeline().addLast(tls.newHandler(channel.alloc()));
      }
      channel.pipeline().addLast(new HttpClientCodec());
    }
  }

  private static final class Collector implements StreamListener {

    private final CompletableFuture<HttpResponse> response;
    private final int maxBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();

    Collector(CompletableFuture<HttpResponse> response, int maxBytes) {
      this.response = response;
      this.maxBytes = maxBytes;
    }

    @Override
    public void onHeaders(int status, Map<String, String> headers) {
      this.status = status;
      this.headers = headers;
    }

    @Override
    public void onChunk(byte[] bytes) {
      if (body.size() + bytes.length > maxBytes) {
        response.completeExceptionally(
            new ConnectionLostException("the answer is longer than " + maxBytes + " bytes"));
        return;
      }
      body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
      response.complete(new HttpResponse(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(Throwable cause) {
      response.completeExceptionally(cause);
    }
  }
}
