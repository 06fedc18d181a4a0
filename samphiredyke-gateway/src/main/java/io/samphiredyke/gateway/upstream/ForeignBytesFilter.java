package io.samphiredyke.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.samphiredyke.core.stream.ResponseHeadScan;
import io.samphiredyke.platform.Headers;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Passes on the body of a response as long as it contains no bytes of another response.
 *
 * <p>Holds back the bytes that may be the begin of another head, {@link
 * ResponseHeadScan#MAX_HEAD_BYTES} at most. The body is wrong as a whole if there is one, as
 * nothing states that the part before it is complete, unless a whole copy of the response follows
 * it.
 */
final class ForeignBytesFilter {

  private final String ownOutline;
  private final String ownId;
  private final Consumer<ByteBuf> receiver;
  private final ResponseHeadScan scan;
  private final @Nullable CopyComparison comparison;
  private ByteBuf held = Unpooled.EMPTY_BUFFER;
  private boolean isInCopy;
  private boolean hasWholeCopy;

  /**
   * Creates a filter at the begin of a body.
   *
   * @param carried what the connection has carried, the response included
   * @param ownId id of the request
   * @param ownOutline outline of the head of a response without length or chunks, empty for others
   * @param receiver receives what is passed on
   */
  ForeignBytesFilter(
      CarriedIds carried, String ownId, String ownOutline, Consumer<ByteBuf> receiver) {
    this.ownId = ownId;
    this.ownOutline = ownOutline;
    this.receiver = receiver;
    this.scan = new ResponseHeadScan(Headers.REQUEST_ID, carried::contains, carried.heads());
    this.comparison = ownOutline.isEmpty() ? null : new CopyComparison();
  }

  /**
   * Passes on the next bytes, or holds them back.
   *
   * @return whether they contain the head of another response; nothing more is passed on then
   */
  boolean accept(ByteBuf content) {
    if (isInCopy) {
      return !continuesCopy(content);
    }
    int position = content.readerIndex();
    int end = content.writerIndex();
    while (position < end) {
      if (scan.undecidedBytes() == 0) {
        int first = content.indexOf(position, end, ResponseHeadScan.FIRST_BYTE);
        scan.skip((first < 0 ? end : first) - position);
        position = first < 0 ? end : first;
      }
      if (position < end && scan.accept(content.getByte(position++))) {
        return !beginsCopy(content, position);
      }
    }
    passOn(content, scan.undecidedBytes());
    return false;
  }

  /** Begins to compare the rest with the body before it, if the head that was found permits. */
  private boolean beginsCopy(ByteBuf content, int headEnd) {
    boolean isOwn = scan.statedId().equals(ownId) && scan.foundOutline().equals(ownOutline);
    if (comparison == null || !isOwn) {
      return false;
    }
    isInCopy = true;
    passOn(
        content.slice(content.readerIndex(), headEnd - content.readerIndex()), scan.foundBytes());
    held = Unpooled.EMPTY_BUFFER;
    return continuesCopy(content.slice(headEnd, content.writerIndex() - headEnd));
  }

  private boolean continuesCopy(ByteBuf content) {
    CopyComparison running = comparison;
    if (running == null) {
      return false;
    }
    running.addToCopy(content);
    return !running.isLonger();
  }

  /** Passes on what was held back and more, without the last bytes, which are held back. */
  private void passOn(ByteBuf content, int undecided) {
    if (!held.isReadable() && undecided == 0) {
      give(content);
      return;
    }
    ByteBuf all = Unpooled.wrappedBuffer(held, content.slice());
    int decided = all.readableBytes() - undecided;
    held = Unpooled.copiedBuffer(all.slice(decided, undecided));
    give(all.slice(0, decided));
  }

  private void give(ByteBuf bytes) {
    if (!bytes.isReadable()) {
      return;
    }
    if (comparison != null) {
      comparison.addToBody(bytes);
    }
    receiver.accept(bytes);
  }

  /**
   * Ends the body and passes on what was held back.
   *
   * @return whether the body ends within another response
   */
  boolean end() {
    if (isInCopy) {
      hasWholeCopy = comparison != null && comparison.isEqual();
      return !hasWholeCopy;
    }
    if (scan.endsWithin()) {
      return true;
    }
    give(held);
    return false;
  }

  /** Returns whether a whole copy of the response followed the body, and was not passed on. */
  boolean hasWholeCopy() {
    return hasWholeCopy;
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
