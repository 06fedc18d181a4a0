package io.samphiredyke.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.samphiredyke.core.serving.CallerLimits;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a caller: collects whole requests and serves them one after the other.
 *
 * <p>Reading goes on while a request is served, so that a close by the caller is noticed; what
 * arrives early waits.
 */
final class FrontendConnection extends SimpleChannelInboundHandler<HttpObject> {

  /** Messages of following requests that may wait before the connection counts as abusive. */
  private static final int MAX_EARLY_MESSAGES = 1_024;

  private final FrontendServer server;
  private final Deque<HttpObject> early = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private @Nullable HttpRequest head;
  private @Nullable CompositeByteBuf body;
  private @Nullable FrontendResponseWriter answer;
  private RequestHandler.@Nullable Observer observer;
  private long headArrivedAt;
  private long idleSince;
  private long bytesSince = -1;
  private boolean closing;

  FrontendConnection(FrontendServer server) {
    super(false);
    this.server = server;
  }

  /** Returns the handler that notes when the first bytes of a request arrive. */
  ChannelHandler arrivals() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (bytesSince < 0 && head == null && answer == null) {
          bytesSince = now(ctx);
        }
        ctx.fireChannelRead(message);
      }
    };
  }

  boolean isBusy() {
    return answer != null || head != null;
  }

  private static long now(ChannelHandlerContext ctx) {
    return ctx.channel().eventLoop().ticker().nanoTime();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    idleSince = now(ctx);
    ctx.fireChannelActive();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (answer != null) {
      early.add(message);
      if (early.size() > MAX_EARLY_MESSAGES) {
        ctx.close();
      }
      return;
    }
    read(ctx, message);
  }

  private void read(ChannelHandlerContext ctx, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      refuseMalformed(message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpRequest request) {
      startRequest(ctx, request);
    }
    if (message instanceof HttpContent content) {
      readContent(content);
    }
  }

  private void refuseMalformed(Throwable cause) {
    boolean isTooLong = cause instanceof TooLongFrameException;
    refuse(
        isTooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST);
  }

  private void startRequest(ChannelHandlerContext ctx, HttpRequest request) {
    head = request;
    headArrivedAt = now(ctx);
    bytesSince = -1;
    body = Unpooled.compositeBuffer(64);
    boolean isAmbiguous =
        request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
            && request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    if (isAmbiguous) {
      refuse(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes()) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      ctx.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void readContent(HttpContent content) {
    CompositeByteBuf collected = body;
    HttpRequest request = head;
    if (collected == null || request == null) {
      content.release();
      return;
    }
    collected.addComponent(true, content.content());
    if (collected.readableBytes() > server.limits().maxBodyBytes()) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (content instanceof LastHttpContent) {
      serve(request, collected);
    }
  }

  private void serve(HttpRequest request, ByteBuf whole) {
    ChannelHandlerContext ctx = context;
    if (ctx == null) {
      whole.release();
      return;
    }
    head = null;
    body = null;
    FrontendResponseWriter current =
        new FrontendResponseWriter(this, ctx, HttpUtil.isKeepAlive(request));
    answer = current;
    RequestHandler.Observer told =
        server.handler().serve(new CallerRequest(request, whole, headArrivedAt, current));
    if (answer == current) {
      observer = told;
    }
  }

  boolean isDraining() {
    return server.isDraining();
  }

  /** Called when an answer has been handed to the connection whole. */
  void answered(boolean keepsConnection) {
    ChannelHandlerContext ctx = context;
    answer = null;
    observer = null;
    if (ctx == null) {
      return;
    }
    idleSince = now(ctx);
    if (!keepsConnection) {
      closing = true;
      releaseEarly();
      ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    while (answer == null && !closing && !early.isEmpty()) {
      read(ctx, early.poll());
    }
  }

  private void refuse(HttpResponseStatus status) {
    ChannelHandlerContext ctx = context;
    closing = true;
    head = null;
    releaseBody();
    releaseEarly();
    if (ctx == null) {
      return;
    }
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, "close");
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  /** Closes the connection unless a request is on it or on its way in. */
  void closeIfIdle() {
    ChannelHandlerContext ctx = context;
    if (ctx != null && !isBusy() && bytesSince < 0) {
      closing = true;
      ctx.close();
    }
  }

  /** Applies the limits on time. */
  void checkTimes(CallerLimits limits, long now) {
    ChannelHandlerContext ctx = context;
    if (ctx == null || closing || answer != null) {
      return;
    }
    long headNanos = TimeUnit.MILLISECONDS.toNanos(limits.headerTimeoutMillis());
    long idleNanos = TimeUnit.MILLISECONDS.toNanos(limits.idleTimeoutMillis());
    if (head == null && bytesSince >= 0 && now - bytesSince > headNanos) {
      refuse(HttpResponseStatus.REQUEST_TIMEOUT);
    } else if (head != null && now - headArrivedAt > idleNanos) {
      refuse(HttpResponseStatus.REQUEST_TIMEOUT);
    } else if (head == null && bytesSince < 0 && now - idleSince > idleNanos) {
      closing = true;
      ctx.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    RequestHandler.Observer told = observer;
    if (told != null && ctx.channel().isWritable()) {
      told.writable();
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    server.closed(this);
    releaseBody();
    releaseEarly();
    RequestHandler.Observer told = observer;
    FrontendResponseWriter current = answer;
    answer = null;
    observer = null;
    if (current != null) {
      current.close();
    }
    if (told != null) {
      told.callerGone();
    }
    ctx.fireChannelInactive();
  }

  private void releaseBody() {
    ByteBuf collected = body;
    body = null;
    if (collected != null) {
      collected.release();
    }
  }

  private void releaseEarly() {
    early.forEach(ReferenceCountUtil::release);
    early.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
