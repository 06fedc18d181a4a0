package io.samphiredyke.gateway.frontend;

import io.netty.channel.ChannelHandlerContext;
import io.samphiredyke.net.http.RequestDecoder;

/**
 * The bytes that a caller sends behind the request that is processed, and the pace at which they
 * are read.
 */
final class PipelinedInput {

  /** Bytes from which on they are read slowly. */
  private static final int MANY_BYTES = 64 * 1024;

  /** Bytes from which on nothing is read before the response. */
  private static final int MAX_BYTES = 256 * 1024;

  private final RequestDecoder decoder;
  private boolean isDiscarded;

  PipelinedInput(RequestDecoder decoder) {
    this.decoder = decoder;
  }

  /** Returns whether bytes are kept that have not been decoded. */
  boolean hasBytes() {
    return decoder.hasUndecodedBytes();
  }

  /** Returns the memory that undecoded bytes occupy. */
  long keptBytes() {
    return decoder.keptBytes();
  }

  /** Returns whether no further request is read on the connection. */
  boolean isDiscarded() {
    return isDiscarded;
  }

  /** Decodes the next request, after the response to the previous one. */
  void next() {
    decoder.next();
  }

  /** Drops what is kept and all that arrives later. */
  void discard() {
    isDiscarded = true;
    decoder.discard();
  }

  /** Pauses reading while a request is processed and many bytes are kept. */
  void updateReading(ChannelHandlerContext ctx, boolean isProcessing) {
    ctx.channel().config().setAutoRead(!isProcessing || decoder.keptBytes() <= MANY_BYTES);
  }

  /** Reads once while reading is paused, since only that shows a disconnect. */
  void readSlowly(ChannelHandlerContext ctx) {
    if (!ctx.channel().config().isAutoRead() && decoder.keptBytes() < MAX_BYTES) {
      ctx.read();
    }
  }
}
