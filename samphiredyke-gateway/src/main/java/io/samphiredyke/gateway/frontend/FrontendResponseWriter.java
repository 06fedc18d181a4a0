package io.samphiredyke.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** Writes the response to one request on a caller's connection. */
final class FrontendResponseWriter implements ResponseWriter {

  private final FrontendConnection connection;
  private final ChannelHandlerContext ctx;
  private final boolean keepAlive;
  private boolean announcesClose;
  private boolean started;
  private boolean ended;

  FrontendResponseWriter(
      FrontendConnection connection, ChannelHandlerContext ctx, boolean keepAlive) {
    this.connection = connection;
    this.ctx = ctx;
    this.keepAlive = keepAlive;
  }

  /** Returns the status of the response to a request that can't be decoded. */
  static HttpResponseStatus statusOf(Throwable cause) {
    return cause instanceof TooLongFrameException
        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }

  /**
   * Returns the response to a request that is not handled, after which the connection ends.
   *
   * @param retryAfterSeconds time after which it may be sent again, if the status is 503
   */
  static FullHttpResponse rejection(HttpResponseStatus status, int retryAfterSeconds) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds);
    }
    return response;
  }

  private boolean mayKeepAlive() {
    return keepAlive && !announcesClose && !connection.endsAfterResponse();
  }

  private void setConnectionHeader(HttpResponse response) {
    if (!mayKeepAlive()) {
      announcesClose = true;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void send(int status, HttpHeaders headers, ByteBuf body) {
    if (started || ended) {
      body.release();
      return;
    }
    ended = true;
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    setConnectionHeader(response);
    boolean keepsOpen = mayKeepAlive();
    connection.responseCompleted(keepsOpen, ctx.writeAndFlush(response));
  }

  @Override
  public void start(int status, HttpHeaders headers) {
    if (started || ended) {
      return;
    }
    started = true;
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setConnectionHeader(response);
    ctx.write(response);
  }

  @Override
  public void write(ByteBuf chunk) {
    if (ended) {
      chunk.release();
      return;
    }
    ctx.writeAndFlush(new DefaultHttpContent(chunk));
  }

  @Override
  public void end() {
    if (ended) {
      return;
    }
    ended = true;
    boolean keepsOpen = mayKeepAlive();
    connection.responseCompleted(keepsOpen, ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  @Override
  public void abort() {
    if (!ended) {
      ended = true;
      ctx.close();
    }
  }

  void markClosed() {
    ended = true;
  }

  @Override
  public boolean isWritable() {
    return ended || ctx.channel().isWritable();
  }
}
