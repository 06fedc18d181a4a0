package io.samphiredyke.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A loopback proxy that passes connections on and harms them as it is told. */
final class Link implements AutoCloseable {

  /** What happens to bytes on the link. */
  enum Mode {
    /** They pass. */
    PASS,
    /** They pass after {@link #DELAY_MILLIS}. */
    DELAY,
    /** They wait until the mode changes, like packets in a cut that heals. */
    HOLD,
    /** Those towards the target pass, the way back goes silent for good. */
    NO_ANSWERS,
    /** Connections go silent for good in both directions; none ends. */
    SILENT
  }

  /** Longer than any usual answer on the platform, shorter than the time that callers have. */
  static final long DELAY_MILLIS = 300;

  private final EventLoopGroup group;
  private final InetSocketAddress target;
  private final Set<Channel> open = ConcurrentHashMap.newKeySet();
  private final Channel listener;
  private volatile Mode mode = Mode.PASS;

  /** Listens at an address and passes connections on to a target. */
  Link(EventLoopGroup group, InetSocketAddress address, InetSocketAddress target) {
    this.group = group;
    this.target = target;
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accepted(channel);
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  void mode(Mode value) {
    mode = value;
    open.forEach(
        channel ->
            channel.eventLoop().execute(() -> channel.config().setAutoRead(value != Mode.HOLD)));
  }

  /** Resets all connections that are open. */
  void reset() {
    open.forEach(channel -> channel.eventLoop().execute(() -> reset(channel)));
  }

  /**
   * Closes a channel with a reset; called on its event loop, where it can't be closed meanwhile.
   */
  private static void reset(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  private void accepted(Channel caller) {
    open.add(caller);
    caller.closeFuture().addListener(done -> open.remove(caller));
    if (mode == Mode.SILENT || mode == Mode.HOLD) {
      caller.pipeline().addLast(new Deaf());
      return;
    }
    new Bootstrap()
        .group(caller.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(new Pipe(caller, true))
        .connect(target)
        .addListener(
            (ChannelFutureListener)
                connecting -> {
                  if (!connecting.isSuccess()) {
                    reset(caller);
                    return;
                  }
                  Channel connected = connecting.channel();
                  open.add(connected);
                  connected.closeFuture().addListener(done -> open.remove(connected));
                  caller.pipeline().addLast(new Pipe(connected, false));
                  caller.config().setAutoRead(true);
                });
  }

  /** Ends a connection that leads nowhere when its caller resets it. */
  private static final class Deaf extends ChannelInboundHandlerAdapter {

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  /** Something that the link does later. */
  private record Step(long dueNanos, Runnable action) {}

  /** Writes what one side says to the other. */
  private final class Pipe extends ChannelInboundHandlerAdapter {

    private final Channel other;
    private final boolean isAnswer;
    private final Deque<Step> steps = new ArrayDeque<>();
    private boolean isSilent;

    Pipe(Channel other, boolean isAnswer) {
      this.other = other;
      this.isAnswer = isAnswer;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      Mode now = mode;
      // Bytes that follow lost ones must be lost too: TCP never leaves a gap.
      isSilent |= now == Mode.SILENT || (now == Mode.NO_ANSWERS && isAnswer);
      if (isSilent) {
        ReferenceCountUtil.release(message);
        return;
      }
      later(ctx, () -> other.writeAndFlush(message));
    }

    /** Runs a step after the delay in force and after all steps before it. */
    private void later(ChannelHandlerContext ctx, Runnable step) {
      long delay = mode == Mode.DELAY ? TimeUnit.MILLISECONDS.toNanos(DELAY_MILLIS) : 0;
      steps.add(new Step(System.nanoTime() + delay, step));
      ctx.channel().eventLoop().schedule(this::runDue, delay, TimeUnit.NANOSECONDS);
    }

    private void runDue() {
      while (!steps.isEmpty() && System.nanoTime() - steps.peek().dueNanos() >= 0) {
        steps.remove().action().run();
      }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
      other.config().setAutoRead(ctx.channel().isWritable());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!isSilent) {
        later(ctx, other::close);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      other.eventLoop().execute(() -> reset(other));
      ctx.close();
    }
  }

  @Override
  public void close() {
    listener.close();
    open.forEach(Channel::close);
  }
}
