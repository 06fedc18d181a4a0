package io.samphiredyke.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP/1.1 client that opens a connection for each request, or keeps a pool of idle ones.
 *
 * <p>HTTP/1.1 matches a response to its request by the order on the connection alone, so a second
 * copy of an earlier response can be taken for the response to the next request. Connections are
 * reused only if the options say so, and only if they were idle for a short time in which nothing
 * arrived. They are closed within twice that time. The client never sends a request twice.
 */
public final class HttpClient implements AutoCloseable {

  private static final AttributeKey<Long> IDLE_SINCE = AttributeKey.valueOf("idleSince");

  private final EventLoopGroup group;
  private final HttpClientOptions options;
  private final BodyBudget bodyBudget;
  private final Map<InetSocketAddress, Deque<Channel>> idle = new ConcurrentHashMap<>();
  private final Set<InetSocketAddress> expiring = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  /** Creates a client whose connections run on the given event loops. */
  public HttpClient(EventLoopGroup group, HttpClientOptions options) {
    this.group = group;
    this.options = options;
    this.bodyBudget = new BodyBudget(options.maxBodyBytes());
  }

  /**
   * Sends a request and collects the complete response. Cancelling the future closes the
   * connection. The bodies that are being collected from one address share the limit of the
   * options, so that a server whose responses have no end can't exhaust the memory.
   *
   * @return the response with any status; fails with {@link ConnectFailedException} if nothing was
   *     sent
   */
  public CompletableFuture<HttpResponse> send(HttpRequest request) {
    ResponseCollector collector = new ResponseCollector(request.address(), bodyBudget);
    HttpStream stream = open(request, collector);
    Duration timeLimit = request.timeout().plus(options.maxReadTime());
    Future<?> timeLimitTask =
        group
            .next()
            .schedule(
                () -> collector.abort("no complete response within " + timeLimit),
                timeLimit.toNanos(),
                TimeUnit.NANOSECONDS);
    CompletableFuture<HttpResponse> response = collector.response();
    response.whenComplete(
        (received, failure) -> {
          timeLimitTask.cancel(false);
          collector.releaseBody();
          if (failure != null) {
            stream.close();
          }
        });
    return response;
  }

  /**
   * Sends a request and streams the response to a listener.
   *
   * @return a handle that closes the stream
   */
  public HttpStream open(HttpRequest request, StreamListener listener) {
    ClientExchange exchange = new ClientExchange(this, request, listener);
    Channel pooled = request.newConnection() ? null : acquireIdle(request.address());
    if (pooled != null) {
      exchange.startOnReused(pooled);
      return exchange;
    }
    connect(request.address(), exchange);
    return exchange;
  }

  private void connect(InetSocketAddress address, ClientExchange exchange) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .handler(new Initializer(options.tls()));
    ChannelFuture connecting =
        TcpProfile.PROBED.opened(bootstrap, options.connectTimeout()).connect(address);
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            exchange.start(connecting.channel());
          } else {
            exchange.connectFailed(new ConnectFailedException(address, done.cause()));
          }
        });
  }

  private @Nullable Channel acquireIdle(InetSocketAddress address) {
    Deque<Channel> channels = idle.get(address);
    if (channels == null) {
      return null;
    }
    synchronized (channels) {
      while (true) {
        Channel channel = channels.pollLast();
        if (channel == null) {
          return null;
        }
        if (isReusable(channel)) {
          return channel;
        }
        channel.close();
      }
    }
  }

  private boolean isReusable(Channel channel) {
    Long since = channel.attr(IDLE_SINCE).get();
    long now = channel.eventLoop().ticker().nanoTime();
    return channel.isActive() && since != null && now - since < options.maxIdleTime().toNanos();
  }

  void release(InetSocketAddress address, Channel channel) {
    if (closed || !channel.isActive()) {
      channel.close();
      return;
    }
    channel.attr(IDLE_SINCE).set(channel.eventLoop().ticker().nanoTime());
    Deque<Channel> channels = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
    synchronized (channels) {
      if (channels.size() < options.maxIdlePerAddress()) {
        channels.addLast(channel);
        scheduleExpiry(address);
        return;
      }
    }
    channel.close();
  }

  /** Schedules the next check of the idle connections to an address, unless there is one. */
  private void scheduleExpiry(InetSocketAddress address) {
    if (expiring.add(address)) {
      group
          .next()
          .schedule(
              () -> closeExpired(address), options.maxIdleTime().toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  private void closeExpired(InetSocketAddress address) {
    expiring.remove(address);
    Deque<Channel> channels = idle.get(address);
    if (channels == null) {
      return;
    }
    synchronized (channels) {
      while (!channels.isEmpty() && !isReusable(channels.peekFirst())) {
        channels.removeFirst().close();
      }
      if (!channels.isEmpty()) {
        scheduleExpiry(address);
      }
    }
  }

  /** Closes the idle connections to an address, after one to it has turned out to be dead. */
  void closeIdle(InetSocketAddress address) {
    Deque<Channel> channels = idle.get(address);
    if (channels == null) {
      return;
    }
    synchronized (channels) {
      channels.forEach(Channel::close);
      channels.clear();
    }
  }

  void scheduleTimeout(Channel channel, Runnable action, long nanos) {
    channel.eventLoop().schedule(action, nanos, TimeUnit.NANOSECONDS);
  }

  @Override
  public void close() {
    closed = true;
    idle.keySet().forEach(this::closeIdle);
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
      channel.pipeline().addLast(new ResponseDecoder(() -> {}));
      channel.pipeline().addLast(new HttpRequestEncoder());
    }
  }
}
