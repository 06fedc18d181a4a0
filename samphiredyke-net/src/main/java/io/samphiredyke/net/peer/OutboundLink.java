package io.samphiredyke.net.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.samphiredyke.schema.message.PeerMessage;
import io.samphiredyke.schema.message.Welcome;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The opening side of a link to one address. State is touched on its event loop only.
 *
 * <p>A link is used once: when it fails, all its requests fail, and the next message opens a new
 * one. A request that times out while nothing at all was received condemns the link, because the
 * connection may have been forgotten by something between its ends.
 */
final class OutboundLink extends SimpleChannelInboundHandler<PeerFrame> {

  private record Waiting(
      PeerMessage message,
      @Nullable String incarnation,
      long correlation,
      @Nullable CompletableFuture<PeerMessage> reply) {}

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Handshake handshake;
  private final PeerOptions options;
  private final PeerCounters counters;
  private final String nonce = Handshake.nonce();
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private final Map<Long, CompletableFuture<PeerMessage>> requests = new HashMap<>();
  private @Nullable Channel channel;
  private @Nullable PeerIdentity peer;
  private long lastCorrelation;
  private long framesReceived;
  private volatile boolean closed;

  OutboundLink(
      EventLoop loop,
      InetSocketAddress address,
      Handshake handshake,
      PeerOptions options,
      PeerCounters counters) {
    this.loop = loop;
    this.address = address;
    this.handshake = handshake;
    this.options = options;
    this.counters = counters;
  }

  boolean isClosed() {
    return closed;
  }

  void open() {
    int connectMillis = (int) options.connectTimeout().toMillis();
    OutboundLink self = this;
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel connecting) {
                LinkPipeline.build(connecting, options.clientTls(), options, counters, self);
              }
            })
        .connect(address)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                close("cannot connect to " + address);
              }
            });
    loop.schedule(this::checkHandshake, connectMillis * 2L, TimeUnit.MILLISECONDS);
  }

  private void checkHandshake() {
    if (peer == null) {
      close("no handshake with " + address);
    }
  }

  void send(PeerMessage message, @Nullable String incarnation) {
    loop.execute(() -> enqueue(new Waiting(message, incarnation, PeerFrame.ONE_WAY, null)));
  }

  void request(
      PeerMessage message,
      @Nullable String incarnation,
      long timeoutNanos,
      CompletableFuture<PeerMessage> reply) {
    loop.execute(
        () -> {
          long correlation = ++lastCorrelation;
          long seen = framesReceived;
          enqueue(new Waiting(message, incarnation, correlation, reply));
          loop.schedule(
              () -> onTimeout(correlation, seen, reply), timeoutNanos, TimeUnit.NANOSECONDS);
        });
  }

  private void enqueue(Waiting item) {
    if (closed || waiting.size() >= options.maxPendingMessages()) {
      fail(item, "the link to " + address + " is closed or full");
      return;
    }
    if (peer == null) {
      waiting.add(item);
      return;
    }
    write(item);
  }

  private void write(Waiting item) {
    PeerIdentity remote = peer;
    Channel connected = channel;
    if (remote == null || connected == null) {
      fail(item, "the link to " + address + " is not up");
      return;
    }
    if (item.incarnation() != null && !item.incarnation().equals(remote.incarnation())) {
      fail(item, address + " is now another process");
      return;
    }
    if (item.reply() != null) {
      requests.put(item.correlation(), item.reply());
    }
    connected.writeAndFlush(new PeerFrame(item.correlation(), item.message()));
  }

  private static void fail(Waiting item, String reason) {
    if (item.reply() != null) {
      item.reply().completeExceptionally(new PeerUnreachableException(reason, false));
    }
  }

  private void onTimeout(long correlation, long seen, CompletableFuture<PeerMessage> reply) {
    if (reply.isDone()) {
      return;
    }
    waiting.removeIf(item -> item.correlation() == correlation);
    boolean written = requests.remove(correlation) != null;
    reply.completeExceptionally(
        new PeerUnreachableException("no reply from " + address + " in time", written));
    if (framesReceived == seen && !closed) {
      counters.silentLink();
      close("the link to " + address + " is silent");
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    ctx.writeAndFlush(new PeerFrame(PeerFrame.ONE_WAY, handshake.hello(nonce, "")));
    ctx.fireChannelActive();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
    framesReceived++;
    if (peer == null) {
      completeHandshake(ctx, frame);
      return;
    }
    if (!frame.isReply()) {
      return;
    }
    CompletableFuture<PeerMessage> reply = requests.remove(-frame.correlation());
    if (reply != null) {
      reply.complete(frame.message());
    }
  }

  private void completeHandshake(ChannelHandlerContext ctx, PeerFrame frame) {
    boolean valid =
        frame.message() instanceof Welcome welcome && handshake.isAuthentic(welcome, nonce);
    if (!valid) {
      counters.refusedHandshake();
      close(address + " did not prove that it belongs to the system");
      return;
    }
    Welcome welcome = (Welcome) frame.message();
    String proof = handshake.clientProof(welcome, nonce);
    ctx.writeAndFlush(new PeerFrame(PeerFrame.ONE_WAY, handshake.hello(nonce, proof)));
    peer = Handshake.identity(welcome);
    while (!waiting.isEmpty()) {
      write(waiting.remove());
    }
  }

  void close(String reason) {
    closed = true;
    Channel connected = channel;
    if (connected != null) {
      connected.close();
    }
    while (!waiting.isEmpty()) {
      fail(waiting.remove(), reason);
    }
    requests
        .values()
        .forEach(reply -> reply.completeExceptionally(new PeerUnreachableException(reason, true)));
    requests.clear();
  }

  EventLoop loop() {
    return loop;
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    close("the link to " + address + " was closed");
    ctx.fireChannelInactive();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent && requests.isEmpty()) {
      close("the link to " + address + " was idle");
    }
    ctx.fireUserEventTriggered(event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    counters.malformedFrame();
    close("the link to " + address + " failed: " + cause.getMessage());
  }
}
