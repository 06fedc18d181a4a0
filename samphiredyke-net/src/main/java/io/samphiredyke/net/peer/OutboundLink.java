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
 * The opening side of a link to one address, confined to its event loop.
 *
 * <p>A link is not reconnected: when it fails, all its requests fail, and the next message opens a
 * new link. If a request times out and no frame at all was received meanwhile, the link is closed,
 * because a firewall or a load balancer may have dropped the state of the connection.
 */
final class OutboundLink extends SimpleChannelInboundHandler<PeerFrame> {

  private record PendingMessage(
      PeerMessage message,
      @Nullable String incarnation,
      long correlationId,
      @Nullable CompletableFuture<PeerMessage> reply) {}

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Handshake handshake;
  private final PeerOptions options;
  private final PeerCounters counters;
  private final String nonce = Handshake.nonce();
  private final Deque<PendingMessage> pending = new ArrayDeque<>();
  private final Map<Long, CompletableFuture<PeerMessage>> pendingReplies = new HashMap<>();
  private @Nullable Channel channel;
  private @Nullable PeerIdentity peer;
  private long lastCorrelationId;
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
                close("failed to connect to " + address);
              }
            });
    loop.schedule(this::checkHandshake, connectMillis * 2L, TimeUnit.MILLISECONDS);
  }

  private void checkHandshake() {
    if (peer == null) {
      close("no handshake in time with " + address);
    }
  }

  void send(PeerMessage message, @Nullable String incarnation) {
    loop.execute(() -> enqueue(new PendingMessage(message, incarnation, PeerFrame.ONE_WAY, null)));
  }

  void request(
      PeerMessage message,
      @Nullable String incarnation,
      long timeoutNanos,
      CompletableFuture<PeerMessage> reply) {
    loop.execute(
        () -> {
          long correlationId = ++lastCorrelationId;
          long framesReceivedBefore = framesReceived;
          enqueue(new PendingMessage(message, incarnation, correlationId, reply));
          loop.schedule(
              () -> onTimeout(correlationId, framesReceivedBefore, reply),
              timeoutNanos,
              TimeUnit.NANOSECONDS);
        });
  }

  private void enqueue(PendingMessage item) {
    if (closed || pending.size() >= options.maxPendingMessages()) {
      fail(item, "the link to " + address + " is closed or its queue is full");
      return;
    }
    if (peer == null) {
      pending.add(item);
      return;
    }
    write(item);
  }

  private void write(PendingMessage item) {
    PeerIdentity remote = peer;
    Channel connected = channel;
    if (remote == null || connected == null) {
      fail(item, "the link to " + address + " is not established");
      return;
    }
    if (item.incarnation() != null && !item.incarnation().equals(remote.incarnation())) {
      fail(item, address + " belongs to another process now");
      return;
    }
    if (item.reply() != null) {
      pendingReplies.put(item.correlationId(), item.reply());
    }
    connected.writeAndFlush(new PeerFrame(item.correlationId(), item.message()));
  }

  private static void fail(PendingMessage item, String reason) {
    if (item.reply() != null) {
      item.reply().completeExceptionally(new PeerUnreachableException(reason, false));
    }
  }

  private void onTimeout(
      long correlationId, long framesReceivedBefore, CompletableFuture<PeerMessage> reply) {
    if (reply.isDone()) {
      return;
    }
    pending.removeIf(item -> item.correlationId() == correlationId);
    boolean written = pendingReplies.remove(correlationId) != null;
    reply.completeExceptionally(
        new PeerUnreachableException("no reply from " + address + " within the timeout", written));
    if (framesReceived == framesReceivedBefore && !closed) {
      counters.unresponsiveLink();
      close("the link to " + address + " received no data");
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
    CompletableFuture<PeerMessage> reply = pendingReplies.remove(-frame.correlationId());
    if (reply != null) {
      reply.complete(frame.message());
    }
  }

  private void completeHandshake(ChannelHandlerContext ctx, PeerFrame frame) {
    boolean valid =
        frame.message() instanceof Welcome welcome && handshake.isAuthentic(welcome, nonce);
    if (!valid) {
      counters.rejectedHandshake();
      close(address + " failed to authenticate");
      return;
    }
    Welcome welcome = (Welcome) frame.message();
    String proof = handshake.clientProof(welcome, nonce);
    ctx.writeAndFlush(new PeerFrame(PeerFrame.ONE_WAY, handshake.hello(nonce, proof)));
    peer = Handshake.identity(welcome);
    while (!pending.isEmpty()) {
      write(pending.remove());
    }
  }

  void close(String reason) {
    closed = true;
    Channel connected = channel;
    if (connected != null) {
      connected.close();
    }
    while (!pending.isEmpty()) {
      fail(pending.remove(), reason);
    }
    pendingReplies
        .values()
        .forEach(reply -> reply.completeExceptionally(new PeerUnreachableException(reason, true)));
    pendingReplies.clear();
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
    if (event instanceof IdleStateEvent && pendingReplies.isEmpty()) {
      close("the link to " + address + " reached its idle timeout");
    }
    ctx.fireUserEventTriggered(event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    counters.malformedFrame();
    close("the link to " + address + " failed: " + cause.getMessage());
  }
}
