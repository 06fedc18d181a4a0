package io.samphiredyke.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decoder of the requests on a server connection that keeps what is not decoded yet as bytes.
 *
 * <p>A decoded header line occupies many times its length, so that a head is decoded only when all
 * of it has arrived, and pipelined requests are decoded one by one, each when {@link #next} is
 * called. Nothing is decoded or kept after a message that is malformed.
 */
public final class RequestDecoder extends HttpRequestDecoder {

  /** Bytes that a decoded line occupies for each byte of its text, for the shortest lines. */
  private static final int DECODED_FACTOR = 25;

  private static final int MIN_BUFFER_BYTES = 256;

  /** Line ends and blanks that the decoder does not count. */
  private static final int UNCOUNTED_BYTES = 256;

  private final int maxHeadBytes;
  private final HeadScan scan = new HeadScan();
  private HttpMethod method = HttpMethod.GET;
  private boolean isHeadDecoded;
  private boolean isMalformed;
  private int undecodedBytes;
  private @Nullable ChannelHandlerContext context;
  private boolean isRequestComplete;
  private boolean isDecoding;
  private boolean isDiscarding;

  /**
   * Creates a decoder.
   *
   * @param maxHeaderBytes longest request line, and longest header lines together, in bytes
   */
  public RequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes));
    this.maxHeadBytes = 2 * maxHeaderBytes + UNCOUNTED_BYTES;
    setCumulator(RequestDecoder::append);
  }

  /** Appends to a heap buffer of the size of its content; buffers of the socket can be larger. */
  private static ByteBuf append(ByteBufAllocator allocator, ByteBuf kept, ByteBuf received) {
    ByteBuf target = kept;
    int length = kept.readableBytes() + received.readableBytes();
    if (received.readableBytes() > kept.writableBytes()) {
      int capacity = Math.max(MIN_BUFFER_BYTES, Integer.highestOneBit(length - 1) << 1);
      target = allocator.heapBuffer(capacity);
      target.writeBytes(kept);
      kept.release();
    }
    target.writeBytes(received);
    received.release();
    return target;
  }

  /** Returns the method of the last request that was decoded. */
  HttpMethod method() {
    return method;
  }

  /** Returns whether bytes are kept that have not been decoded. */
  public boolean hasUndecodedBytes() {
    return internalBuffer().isReadable();
  }

  /** Returns the memory that undecoded bytes and unfinished trailers occupy, in bytes. */
  public long keptBytes() {
    if (isDiscarding) {
      return 0;
    }
    return internalBuffer().capacity() + (long) undecodedBytes * DECODED_FACTOR;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
    context = ctx;
    super.handlerAdded(ctx);
  }

  /** Decodes the next request, after the response to the previous one. */
  public void next() {
    isRequestComplete = false;
    decodeKept();
  }

  /** Drops what is kept and all that is received from now on; the connection can only be closed. */
  public void discard() {
    isDiscarding = true;
    undecodedBytes = 0;
    decodeKept();
  }

  private void decodeKept() {
    ChannelHandlerContext ctx = context;
    if (ctx == null || isDecoding || !hasUndecodedBytes()) {
      return;
    }
    try {
      channelRead(ctx, Unpooled.EMPTY_BUFFER);
    } catch (Exception e) {
      ctx.fireExceptionCaught(e);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    isDecoding = true;
    try {
      super.channelRead(ctx, message);
    } finally {
      isDecoding = false;
    }
  }

  /** Unlike the superclass, reads nothing while reading is paused, whether or not it decoded. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    discardSomeReadBytes();
    ctx.fireChannelReadComplete();
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (isMalformed || isDiscarding) {
      buffer.skipBytes(buffer.readableBytes());
      return;
    }
    if (isRequestComplete || !isHeadDecoded && !isHeadReady(buffer)) {
      return;
    }
    int available = buffer.readableBytes();
    super.decode(ctx, buffer, out);
    undecodedBytes = out.isEmpty() ? undecodedBytes + available - buffer.readableBytes() : 0;
    isHeadDecoded |= undecodedBytes > 0;
    for (Object decoded : out) {
      isMalformed |= decoded instanceof HttpObject message && message.decoderResult().isFailure();
      if (decoded instanceof HttpRequest request) {
        isHeadDecoded = true;
        method = request.method();
      }
      if (decoded instanceof LastHttpContent) {
        isHeadDecoded = false;
        isRequestComplete = true;
        scan.reset();
      }
    }
  }

  /** Returns whether the buffer contains a whole head, or one that is too long. */
  private boolean isHeadReady(ByteBuf buffer) {
    scan.skipBlanks(buffer);
    if (scan.findEnd(buffer)) {
      scan.unfold(buffer);
      return true;
    }
    return buffer.readableBytes() > maxHeadBytes;
  }
}
