package io.samphiredyke.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects a body from pieces of any size.
 *
 * <p>The bytes are copied once into blocks on the heap, so that pieces of one byte cost no more
 * than others, and no buffer of the socket is kept.
 */
public final class BodyBuffer {

  private static final int MIN_BLOCK_BYTES = 256;
  private static final int MAX_BLOCK_BYTES = 16 * 1024;

  private final List<ByteBuf> blocks = new ArrayList<>();
  private int size;
  private int capacity;

  /** Appends bytes, without releasing their buffer. */
  public void append(ByteBuf bytes) {
    size += bytes.readableBytes();
    while (bytes.isReadable()) {
      ByteBuf block = blocks.isEmpty() ? Unpooled.EMPTY_BUFFER : blocks.get(blocks.size() - 1);
      if (!block.isWritable()) {
        block = addBlock(bytes.readableBytes());
      }
      block.writeBytes(bytes, Math.min(block.writableBytes(), bytes.readableBytes()));
    }
  }

  private ByteBuf addBlock(int wanted) {
    int length = Math.min(MAX_BLOCK_BYTES, Math.max(Math.max(MIN_BLOCK_BYTES, capacity), wanted));
    ByteBuf block = Unpooled.buffer(length, length);
    blocks.add(block);
    capacity += length;
    return block;
  }

  /** Returns the number of bytes collected. */
  public int size() {
    return size;
  }

  /** Returns the memory that the blocks occupy, in bytes. */
  public int capacity() {
    return capacity;
  }

  /** Returns the body, which the caller owns. Nothing may be appended any more. */
  public ByteBuf toByteBuf() {
    if (blocks.size() == 1) {
      return blocks.get(0);
    }
    CompositeByteBuf body = Unpooled.compositeBuffer(Math.max(2, blocks.size()));
    return body.addComponents(true, blocks);
  }
}
