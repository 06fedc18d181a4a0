package io.samphiredyke.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
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
