package io.samphiredyke.gateway.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.ReferenceCountUtil;
import java.net.SocketException;

/**
 * Framing of the endpoint's bytes in a tunnel, by which the passing host states their end: each
 * frame has a length before it, and an empty one means that the endpoint ended its connection
 * regularly. The operating system of a passing host that is killed ends the tunnel in the same way
 * as it ends a complete one, so that an end that is not stated fails the connection.
 */
final class TunnelFraming {

  /** Header with which the asking host asks for frames, and the passing host agrees. */
  static final String HEADER = "tunnel-ends";

  /** The only value of the header. */
  static final String STATED = "stated";

  private static final int LENGTH_BYTES = 4;

  /** Largest frame that is accepted; passing hosts send as much as they read at once. */
  private static final int MAX_FRAME_BYTES = 64 * 1024;

  private TunnelFraming() {}

  /** Lets a passing host frame what it sends from now on. */
  static void addEncoder(ChannelPipeline pipeline) {
    pipeline.addFirst(new LengthFieldPrepender(LENGTH_BYTES));
  }

  /**
   * Lets an asking host fail the connection at an end that is not stated.
   *
   * @param isFramed whether the passing host states ends; if not, no end is regular
   */
  static void addDecoder(ChannelPipeline pipeline, boolean isFramed) {
    if (isFramed) {
      pipeline.addLast(
          new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    }
    pipeline.addLast(new EndReader(isFramed));
  }

  private static final class EndReader extends ChannelInboundHandlerAdapter {

    private final boolean isFramed;
    private boolean hasEnded;

    EndReader(boolean isFramed) {
      this.isFramed = isFramed;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      boolean isEnd = isFramed && message instanceof ByteBuf frame && !frame.isReadable();
      if (hasEnded || isEnd) {
        ReferenceCountUtil.release(message);
        hasEnded = true;
        ctx.close();
        return;
      }
      ctx.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!hasEnded) {
        ctx.fireExceptionCaught(new SocketException("the passing host stated no end"));
      }
      ctx.fireChannelInactive();
    }
  }
}
