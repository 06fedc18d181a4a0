package io.samphiredyke.gateway.tunnel;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.util.concurrent.TimeUnit;

/**
 * Passes the bytes of one connection to another one, which has such a handler too.
 *
 * <p>A connection is read only while the other one takes bytes. A regular end is passed on after
 * the bytes before it, and a reset as a reset, since a response may end with its connection. For
 * the same reason the end of a connection to an endpoint counts as regular only if the endpoint
 * ended it, which {@link ChannelOption#ALLOW_HALF_CLOSURE} shows.
 */
final class RelayHandler extends ChannelInboundHandlerAdapter {

  /**
   * Time after the end of an endpoint's output in which what is sent to it may show a reset, in
   * milliseconds.
   */
  private static final long END_MILLIS = 10;

  private final Channel other;
  private final boolean isOfEndpoint;
  private boolean isEndStated;

  /**
   * Creates a handler.
   *
   * @param other receives the bytes
   * @param isOfEndpoint whether the connection is that to the endpoint
   */
  RelayHandler(Channel other, boolean isOfEndpoint) {
    this.other = other;
    this.isOfEndpoint = isOfEndpoint;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    other.write(message);
    if (!other.isWritable()) {
      other.flush();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    other.flush();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    other.config().setAutoRead(ctx.channel().isWritable());
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      if (isOfEndpoint) {
        ctx.executor().schedule(() -> endpointEnded(ctx), END_MILLIS, TimeUnit.MILLISECONDS);
      } else {
        endOther();
        ctx.close();
      }
      return;
    }
    ctx.fireUserEventTriggered(event);
  }

  /**
   * States the end, unless the endpoint has reset the connection since, or has not received all
   * that was sent to it: it ended its response before it had read the request.
   */
  private void endpointEnded(ChannelHandlerContext ctx) {
    if (!ctx.channel().isOpen()) {
      return;
    }
    ChannelOutboundBuffer unsent = ctx.channel().unsafe().outboundBuffer();
    if (unsent == null || !unsent.isEmpty()) {
      reset(other);
    } else {
      endOther();
    }
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (!isOfEndpoint) {
      endOther();
    } else if (!isEndStated) {
      reset(other);
    }
    ctx.fireChannelInactive();
  }

  /** Ends the other connection regularly; with framing the empty buffer is the frame of the end. */
  private void endOther() {
    isEndStated = true;
    if (other.isActive()) {
      // The other end's bytes have no reader any more, but its close still has to be noticed.
      other.config().setAutoRead(true);
      other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    reset(other);
    reset(ctx.channel());
  }

  /** Closes a connection with a reset. */
  static void reset(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }
}
