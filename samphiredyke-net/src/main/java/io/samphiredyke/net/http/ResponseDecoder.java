package io.samphiredyke.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * Decoder of the responses on a client connection that carries one request at a time.
 *
 * <p>Bytes that a server sends beyond a response belong to no request. The decoder closes the
 * connection if data arrives while no request is in progress, and tells whether data follows the
 * end of a response. It rejects a head that contains a second status line, which is what an
 * unfinished head and the next response look like together, and a body that is followed by data
 * that begins no response. A status that HTTP does not have is no response either.
 */
public final class ResponseDecoder extends HttpResponseDecoder {

  private static final String PROTOCOL = "HTTP/1.";
  private static final int STATUS_DIGITS = 3;

  /** Longest header lines of a response together; it may repeat the id of its request. */
  private static final int MAX_HEADER_BYTES = 64 * 1024;

  /** Most header lines of a response, since each occupies memory beside its text. */
  private static final int MAX_LINES = 2_048;

  /**
   * Bytes, blank lines before a response included, without any part of a response after which the
   * server counts as faulty; the longest status line and headers that are decoded have fewer.
   */
  private static final int MAX_UNDECODED_BYTES = MAX_HEADER_BYTES + 8 * 1024;

  private final Runnable onSurplus;
  private boolean requestInProgress;
  private boolean hasSurplus;
  private boolean isHeadRequest;
  private int undecodedBytes;
  private int undecodedLines;

  /**
   * Creates a decoder.
   *
   * @param onSurplus runs when data arrived that belongs to no request
   */
  public ResponseDecoder(Runnable onSurplus) {
    super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
    this.onSurplus = onSurplus;
  }

  /** Called before a request is sent on the connection. */
  public void requestStarted(HttpMethod method) {
    requestInProgress = true;
    hasSurplus = false;
    undecodedBytes = 0;
    undecodedLines = 0;
    isHeadRequest = method.equals(HttpMethod.HEAD);
  }

  /**
   * Called at the end of the final response to the request.
   *
   * @return whether all received data has been read, so that the connection can be reused
   */
  public boolean requestEnded() {
    requestInProgress = false;
    if (hasSurplus) {
      onSurplus.run();
    }
    return !hasSurplus;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (!requestInProgress) {
      ReferenceCountUtil.release(message);
      onSurplus.run();
      ctx.close();
      return;
    }
    super.channelRead(ctx, message);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    int start = buffer.readerIndex();
    super.decode(ctx, buffer, out);
    countUndecoded(buffer, start, out.isEmpty());
    for (int i = 0; i < out.size(); i++) {
      Object decoded = out.get(i);
      if (decoded instanceof HttpResponse response && hasSecondStatusLine(response)) {
        response.setDecoderResult(failure("two status lines in one head"));
      } else if (decoded instanceof HttpResponse response
          && response.headers().size() > MAX_LINES) {
        response.setDecoderResult(failure("more than " + MAX_LINES + " header lines"));
      }
      if (decoded instanceof LastHttpContent last) {
        hasSurplus = buffer.isReadable();
        if (!beginsResponse(buffer)) {
          // The shared empty content accepts no decoder result.
          LastHttpContent failed = new DefaultLastHttpContent(last.content());
          failed.setDecoderResult(failure("a body of another length than stated"));
          out.set(i, failed);
        }
      }
    }
  }

  /** Bounds what is read without any part of a response, a part of a head included. */
  private void countUndecoded(ByteBuf buffer, int start, boolean isUndecoded) {
    undecodedBytes = isUndecoded ? undecodedBytes + buffer.readerIndex() - start : 0;
    undecodedLines = isUndecoded ? undecodedLines + linesIn(buffer, start) : 0;
    if (undecodedBytes > MAX_UNDECODED_BYTES || undecodedLines > MAX_LINES) {
      throw new TooLongFrameException(
          undecodedBytes + " bytes, " + undecodedLines + " lines without a response");
    }
  }

  private static int linesIn(ByteBuf buffer, int start) {
    int lines = 0;
    for (int i = start; i < buffer.readerIndex(); i++) {
      lines += buffer.getByte(i) == '\n' ? 1 : 0;
    }
    return lines;
  }

  /**
   * Returns whether the body of a response ends with the connection, as neither a length nor chunks
   * state its end.
   */
  boolean endsWithConnection(HttpResponse response) {
    return !isContentAlwaysEmpty(response)
        && !HttpUtil.isContentLengthSet(response)
        && !HttpUtil.isTransferEncodingChunked(response);
  }

  private static DecoderResult failure(String reason) {
    return DecoderResult.failure(new IllegalArgumentException(reason));
  }

  /**
   * Returns whether the data that follows a response can be the begin of another one. If not, the
   * body may have been truncated and filled with the begin of a later response.
   */
  private static boolean beginsResponse(ByteBuf surplus) {
    int start = surplus.forEachByte(ByteProcessor.FIND_NON_CRLF);
    if (start < 0) {
      return true;
    }
    int length = Math.min(surplus.writerIndex() - start, PROTOCOL.length());
    return PROTOCOL.startsWith(surplus.toString(start, length, StandardCharsets.US_ASCII));
  }

  private static boolean hasSecondStatusLine(HttpResponse response) {
    if (containsStatusLine(response.status().reasonPhrase())) {
      return true;
    }
    for (Map.Entry<String, String> header : response.headers()) {
      if (containsStatusLine(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a text is a status of HTTP, which has three digits from 100 to 599. */
  private static boolean isStatus(String text) {
    if (text.length() != STATUS_DIGITS || text.charAt(0) < '1' || text.charAt(0) > '5') {
      return false;
    }
    return text.chars().allMatch(digit -> digit >= '0' && digit <= '9');
  }

  /** Returns whether a text contains a protocol version that is followed by a status. */
  private static boolean containsStatusLine(String text) {
    int start = text.indexOf(PROTOCOL);
    int status = start + PROTOCOL.length() + 2;
    return start >= 0 && status < text.length() && Character.isDigit(text.charAt(status));
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    if (!initialLine[0].startsWith(PROTOCOL) || !isStatus(initialLine[1])) {
      throw new IllegalArgumentException("not a status line");
    }
    return super.createMessage(initialLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean isFinal =
        message instanceof HttpResponse response
            && response.status().code() >= HttpResponseStatus.OK.code();
    return isHeadRequest && isFinal || super.isContentAlwaysEmpty(message);
  }

  /** No request asks for another protocol, so that the response to it is still to come. */
  @Override
  protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
    return false;
  }
}
