package io.samphiredyke.net.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Builds the channel pipeline for either side of a link. */
final class LinkPipeline {

  private static final int LENGTH_BYTES = 4;

  private LinkPipeline() {}

  static void build(
      Channel channel,
      @Nullable SslContext tls,
      PeerOptions options,
      PeerCounters counters,
      ChannelHandler link) {
    ChannelPipeline pipeline = channel.pipeline();
    if (tls != null) {
      pipeline.addLast(tls.newHandler(channel.alloc()));
    }
    pipeline.addLast(new ByteCounter(counters));
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            options.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    pipeline.addLast(new PeerFrameCodec());
    long idleMillis = options.idleTimeout().toMillis();
    pipeline.addLast(new IdleStateHandler(0, 0, idleMillis, TimeUnit.MILLISECONDS));
    pipeline.addLast(link);
  }

  private static final class ByteCounter extends ChannelDuplexHandler {

    private final PeerCounters counters;

    ByteCounter(PeerCounters counters) {
      this.counters = counters;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (message instanceof ByteBuf bytes) {
        counters.received(bytes.readableBytes());
      }
      ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      if (message instanceof ByteBuf bytes) {
        counters.sent(bytes.readableBytes());
      }
      ctx.write(message, promise);
    }
  }
}
