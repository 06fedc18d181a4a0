package io.samphiredyke.net.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.samphiredyke.net.http.TcpProfile;
import io.samphiredyke.schema.message.PeerMessage;
import io.samphiredyke.schema.message.Welcome;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The opening side of a link to one address, confined to its event loop.
 *
 * <p>A link is not reconnected: when it closes, the requests that it has written fail, and the next
 * message opens a new link. Messages that it has not written go over that link as well, once,
 * unless the peer could not be reached or authenticated. If a request times out and no frame at all
 * was received meanwhile, the link is closed, because a firewall or a load balancer may have
 * dropped the state of the connection.
 */
final class OutboundLink extends SimpleChannelInboundHandler<PeerFrame> {

  /**
   * A message that has not been written.
   *
   * @param incarnation the process that must receive it, or null for any process at the address
   * @param deadline when its sender stops waiting, in nanoseconds of the event loop's clock
   * @param reply receives the reply, null if there is none
   * @param wasMoved whether another link closed before it could write the message
   */
  record UnsentMessage(
      PeerMessage message,
      @Nullable String incarnation,
      long deadline,
      @Nullable CompletableFuture<PeerMessage> reply,
      boolean wasMoved) {}

  private record PendingMessage(UnsentMessage content, long correlationId) {}

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Handshake handshake;
  private final PeerOptions options;
  private final PeerCounters counters;
  private final Consumer<UnsentMessage> replacement;
  private final String nonce = Handshake.nonce();
  private final Deque<PendingMessage> pending = new ArrayDeque<>();
  private final Map<Long, CompletableFuture<PeerMessage>> pendingReplies = new HashMap<>();
  private @Nullable Channel channel;
  private @Nullable PeerIdentity peer;
  private long lastCorrelationId;
  private long framesReceived;
  private volatile boolean closed;

  /**
   * Creates a link that is not open.
   *
   * @param replacement sends messages over the link that replaces this one
   */
  OutboundLink(
      EventLoop loop,
      InetSocketAddress address,
      Handshake handshake,
      PeerOptions options,
      PeerCounters counters,
      Consumer<UnsentMessage> replacement) {
    this.loop = loop;
    this.address = address;
    this.handshake = handshake;
    this.options = options;
    this.counters = counters;
    this.replacement = replacement;
  }

  boolean isClosed() {
    return closed;
  }

  void open() {
    OutboundLink self = this;
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel connecting) {
                    LinkPipeline.build(connecting, options.clientTls(), options, counters, self);
                  }
                });
    TcpProfile.UNPROBED
        .opened(bootstrap, options.connectTimeout())
        .connect(address)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                failToReach("failed to connect to " + address);
              }
            });
    loop.schedule(
        this::checkHandshake, options.connectTimeout().toMillis() * 2, TimeUnit.MILLISECONDS);
  }

  private void checkHandshake() {
    if (peer == null) {
      failToReach("no handshake in time with " + address);
    }
  }

  void send(PeerMessage message, @Nullable String incarnation) {
    send(new UnsentMessage(message, incarnation, Long.MAX_VALUE, null, false));
  }

  void request(
      PeerMessage message,
      @Nullable String incarnation,
      long timeoutNanos,
      CompletableFuture<PeerMessage> reply) {
    long deadline = loop.ticker().nanoTime() + timeoutNanos;
    send(new UnsentMessage(message, incarnation, deadline, reply, false));
  }

  void send(UnsentMessage message) {
    loop.execute(() -> accept(message));
  }

  private void accept(UnsentMessage message) {
    CompletableFuture<PeerMessage> reply = message.reply();
    if (reply == null) {
      enqueue(new PendingMessage(message, PeerFrame.ONE_WAY));
      return;
    }
    long correlationId = ++lastCorrelationId;
    long framesReceivedBefore = framesReceived;
    enqueue(new PendingMessage(message, correlationId));
    loop.schedule(
        () -> onTimeout(correlationId, framesReceivedBefore, reply),
        Math.max(0, message.deadline() - loop.ticker().nanoTime()),
        TimeUnit.NANOSECONDS);
  }

  private void enqueue(PendingMessage item) {
    if (closed) {
      moveOrFail(item, "the link to " + address + " is closed");
      return;
    }
    if (pending.size() >= options.maxPendingMessages()) {
      fail(item, "the queue of the link to " + address + " is full");
      return;
    }
    if (peer == null) {
      pending.add(item);
      return;
    }
    write(item);
  }

  private void moveOrFail(PendingMessage item, String reason) {
    UnsentMessage message = item.content();
    if (message.wasMoved()) {
      fail(item, reason);
      return;
    }
    replacement.accept(
        new UnsentMessage(
            message.message(), message.incarnation(), message.deadline(), message.reply(), true));
  }

  private void write(PendingMessage item) {
    PeerIdentity remote = peer;
    Channel connected = channel;
    if (remote == null || connected == null) {
      fail(item, "the link to " + address + " is not established");
      return;
    }
    if (item.content().incarnation() != null
        && !item.content().incarnation().equals(remote.incarnation())) {
      fail(item, address + " belongs to another process now");
      return;
    }
    if (item.content().reply() != null) {
      pendingReplies.put(item.correlationId(), item.content().reply());
    }
    connected.writeAndFlush(new PeerFrame(item.correlationId(), item.content().message()));
  }

  private static void fail(PendingMessage item, String reason) {
    CompletableFuture<PeerMessage> reply = item.content().reply();
    if (reply != null) {
      reply.completeExceptionally(new PeerUnreachableException(reason, false));
    }
  }

  private void onTimeout(
      long correlationId, long framesReceivedBefore, CompletableFuture<PeerMessage> reply) {
    if (reply.isDone()) {
      return;
    }
    boolean isWaiting = pending.removeIf(item -> item.correlationId() == correlationId);
    boolean isWritten = pendingReplies.remove(correlationId) != null;
    if (!isWaiting && !isWritten) {
      return;
    }
    // The link is closed first, so that a sender that reacts to the timeout gets a new one.
    if (framesReceived == framesReceivedBefore && !closed) {
      counters.unresponsiveLink();
      close("the link to " + address + " received no data");
    }
    reply.completeExceptionally(
        new PeerUnreachableException(
            "no reply from " + address + " within the timeout", isWritten));
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
      failToReach(address + " failed to authenticate");
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

  /** Closes the link and fails its messages, because the peer is the cause. */
  private void failToReach(String reason) {
    closed = true;
    List<PendingMessage> unsent = List.copyOf(pending);
    pending.clear();
    close(reason);
    unsent.forEach(item -> fail(item, reason));
  }

  /** Closes the link; messages that it has not written go over the link that replaces it. */
  void close(String reason) {
    closed = true;
    Channel connected = channel;
    if (connected != null) {
      connected.close();
    }
    while (!pending.isEmpty()) {
      moveOrFail(pending.remove(), reason);
    }
    List<CompletableFuture<PeerMessage>> unanswered = List.copyOf(pendingReplies.values());
    pendingReplies.clear();
    unanswered.forEach(
        reply -> reply.completeExceptionally(new PeerUnreachableException(reason, true)));
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
