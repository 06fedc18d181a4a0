package io.samphiredyke.gateway.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Reads one HTTP head without body, up to a length and within a time. */
abstract class HeadReader extends ChannelInboundHandlerAdapter {

  /** Maximum length of a head in bytes. */
  static final int MAX_BYTES = 1_024;

  private static final String END = "\r\n\r\n";

  private final long timeoutMillis;
  private final StringBuilder head = new StringBuilder();
  private @Nullable Future<?> timer;
  private boolean done;

  /**
   * Creates a reader.
   *
   * @param timeoutMillis time within which the head must be complete, from the begin of the
   *     connection, in milliseconds
   */
  HeadReader(long timeoutMillis) {
    this.timeoutMillis = timeoutMillis;
  }

  /** Called once when the head is complete and nothing follows it. */
  abstract void onHead(ChannelHandlerContext ctx, String received);

  /** Called once when bytes follow the head; the connection is still to be closed. */
  void onSurplus(ChannelHandlerContext ctx, String reason) {
    onMalformed(ctx, reason);
  }

  /** Called once when no head can be read any more; the connection is still to be closed. */
  abstract void onMalformed(ChannelHandlerContext ctx, String reason);

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    timer =
        ctx.executor()
            .schedule(
                () -> end(ctx, "no head after " + timeoutMillis + " ms"),
                timeoutMillis,
                TimeUnit.MILLISECONDS);
    ctx.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!(message instanceof ByteBuf bytes)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (!done) {
      int length = Math.min(bytes.readableBytes(), MAX_BYTES + 1 - head.length());
      head.append(bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1));
    }
    bytes.release();
    int end = head.indexOf(END);
    if (done) {
      end(ctx, "bytes before the tunnel is open");
    } else if (head.length() > MAX_BYTES) {
      end(ctx, "a head of more than " + MAX_BYTES + " bytes");
    } else if (end >= 0 && end + END.length() < head.length()) {
      finish();
      onSurplus(ctx, "bytes after the head");
    } else if (end >= 0) {
      finish();
      onHead(ctx, head.toString());
    }
  }

  private void finish() {
    done = true;
    Future<?> pending = timer;
    if (pending != null) {
      pending.cancel(false);
    }
  }

  private void end(ChannelHandlerContext ctx, String reason) {
    if (done) {
      ctx.close();
      return;
    }
    finish();
    onMalformed(ctx, reason);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    end(ctx, "closed before the end of the head");
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    end(ctx, String.valueOf(cause));
  }
}
