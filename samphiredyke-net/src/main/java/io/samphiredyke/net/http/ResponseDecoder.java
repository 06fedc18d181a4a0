package io.samphiredyke.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Map;

/**
 * Decoder of the responses on a client connection that carries one request at a time.
 *
 * <p>Bytes that a server sends beyond a response belong to no request. The decoder closes the
 * connection if data arrives while no request is in progress, tells whether data follows the end of
 * a response, and rejects a head that contains a second status line, which is what an unfinished
 * head and the next response look like together.
 */
public final class ResponseDecoder extends HttpResponseDecoder {

  private static final String PROTOCOL = "HTTP/1.";

  /**
   * Bytes, blank lines before a response included, without any part of a response after which the
   * server counts as faulty; the longest status line and headers that are decoded have fewer.
   */
  private static final int MAX_UNDECODED_BYTES = 16 * 1024;

  private final Runnable onSurplus;
  private boolean requestInProgress;
  private boolean hasSurplus;
  private boolean isHeadRequest;
  private int undecodedBytes;

  /**
   * Creates a decoder.
   *
   * @param onSurplus runs when data arrived that belongs to no request
   */
  public ResponseDecoder(Runnable onSurplus) {
    this.onSurplus = onSurplus;
  }

  /** Called before a request is sent on the connection. */
  public void requestStarted(HttpMethod method) {
    requestInProgress = true;
    hasSurplus = false;
    undecodedBytes = 0;
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
    int available = buffer.readableBytes();
    super.decode(ctx, buffer, out);
    undecodedBytes = out.isEmpty() ? undecodedBytes + available - buffer.readableBytes() : 0;
    if (undecodedBytes > MAX_UNDECODED_BYTES) {
      throw new TooLongFrameException(undecodedBytes + " bytes without a response");
    }
    for (Object decoded : out) {
      if (decoded instanceof HttpResponse response && hasSecondStatusLine(response)) {
        response.setDecoderResult(
            DecoderResult.failure(new IllegalArgumentException("two status lines in one head")));
      }
      if (decoded instanceof LastHttpContent) {
        hasSurplus = buffer.isReadable();
      }
    }
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

  /** Returns whether a text contains a protocol version that is followed by a status. */
  private static boolean containsStatusLine(String text) {
    int start = text.indexOf(PROTOCOL);
    int status = start + PROTOCOL.length() + 2;
    return start >= 0 && status < text.length() && Character.isDigit(text.charAt(status));
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    if (!initialLine[0].startsWith(PROTOCOL)) {
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
