package io.samphiredyke.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.samphiredyke.core.stream.ResponseHeadScan;
import io.samphiredyke.platform.Headers;
import java.util.function.Consumer;

/**
 * Passes on the body of a response as long as it contains no bytes of another response.
 *
 * <p>Holds back the bytes that may be the begin of another head, {@link
 * ResponseHeadScan#MAX_HEAD_BYTES} at most. The body is wrong as a whole if there is one: nothing
 * states that the part before it is complete.
 */
final class ForeignBytesFilter {

  private final CarriedIds carried;
  private final Consumer<ByteBuf> receiver;
  private final ResponseHeadScan scan;
  private ByteBuf held = Unpooled.EMPTY_BUFFER;

  /**
   * Creates a filter at the begin of a body.
   *
   * @param carried what the connection has carried, the response included
   * @param receiver receives what is passed on
   */
  ForeignBytesFilter(CarriedIds carried, Consumer<ByteBuf> receiver) {
    this.carried = carried;
    this.receiver = receiver;
    this.scan = new ResponseHeadScan(Headers.REQUEST_ID, carried::contains);
  }

  /**
   * Passes on the next bytes, or holds them back.
   *
   * @return whether they contain the head of another response; nothing more is passed on then
   */
  boolean accept(ByteBuf content) {
    int position = content.readerIndex();
    int end = content.writerIndex();
    while (position < end) {
      if (scan.undecidedBytes() == 0) {
        int first = content.indexOf(position, end, ResponseHeadScan.FIRST_BYTE);
        scan.skip((first < 0 ? end : first) - position);
        position = first < 0 ? end : first;
      }
      if (position < end && scan.accept(content.getByte(position++))) {
        return true;
      }
    }
    passOn(content);
    return false;
  }

  private void passOn(ByteBuf content) {
    int undecided = scan.undecidedBytes();
    if (!held.isReadable() && undecided == 0) {
      receiver.accept(content);
      return;
    }
    ByteBuf all = Unpooled.wrappedBuffer(held, content.slice());
    held = Unpooled.copiedBuffer(all.slice(all.readableBytes() - undecided, undecided));
    ByteBuf decided = all.slice(0, all.readableBytes() - undecided);
    if (decided.isReadable()) {
      receiver.accept(decided);
    }
  }

  /**
   * Ends the body and passes on what was held back.
   *
   * @return whether the body ends within the head of another response
   */
  boolean end() {
    if (scan.endsWithin(carried.heads())) {
      return true;
    }
    if (held.isReadable()) {
      receiver.accept(held);
    }
    return false;
  }

  /** Returns where in the body the head of another response begins. */
  long position() {
    return scan.headPosition();
  }

  /** Returns the id that the head of another response states, empty if it is cut before it. */
  String statedId() {
    return scan.statedId();
  }
}
