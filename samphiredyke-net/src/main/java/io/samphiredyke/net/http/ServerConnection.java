package io.samphiredyke.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Reads the requests of one connection, one after the other.
 *
 * <p>Reading stops after a request's head until its body is asked for, so that a request refused by
 * its head never sends its body. It goes on after the body, so that a closed connection is noticed
 * while an answer is being sent. Pipelined requests are not supported.
 */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final AtomicLong CONNECTIONS = new AtomicLong();

  private final long number = CONNECTIONS.incrementAndGet();
  private final HttpServerOptions options;
  private final HttpHandler handler;
  private @Nullable ServerExchange exchange;
  private @Nullable Future<?> requestTimer;
  private @Nullable ChannelHandlerContext context;
  private boolean inputEnded = true;
  private long requests;

  ServerConnection(HttpServerOptions options, HttpHandler handler) {
    this.options = options;
    this.handler = handler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      refuseMalformed(ctx, message);
      return;
    }
    if (message instanceof HttpRequest request) {
      startExchange(ctx, request);
    }
    if (message instanceof HttpContent content) {
      readContent(ctx, content.content(), message instanceof LastHttpContent);
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  /** Returns whether no request is being served. */
  boolean isBetweenRequests() {
    return exchange == null && inputEnded;
  }

  /** Returns the number of requests whose head has arrived. */
  long requests() {
    return requests;
  }

  /** Refuses a request whose head did not arrive in time. */
  void headTimedOut() {
    ChannelHandlerContext ctx = context;
    if (ctx != null) {
      refuse(ctx, HttpResponseStatus.REQUEST_TIMEOUT);
    }
  }

  private void startExchange(ChannelHandlerContext ctx, HttpRequest request) {
    requests++;
    if (exchange != null) {
      ctx.close();
      return;
    }
    inputEnded = !hasBody(request);
    ctx.channel().config().setAutoRead(false);
    long timeoutMillis = options.requestTimeout().toMillis();
    requestTimer =
        ctx.executor().schedule(() -> onRequestTimeout(ctx), timeoutMillis, TimeUnit.MILLISECONDS);
    Optional<ServerExchange> valid = exchange(ctx, request);
    if (valid.isEmpty()) {
      refuse(ctx, HttpResponseStatus.BAD_REQUEST);
      return;
    }
    ServerExchange started = valid.get();
    exchange = started;
    if (HttpUtil.is100ContinueExpected(request)) {
      started.expectContinue();
    }
    try {
      handler.handle(started);
    } catch (RuntimeException e) {
      started.fail(e);
    }
  }

  private Optional<ServerExchange> exchange(ChannelHandlerContext ctx, HttpRequest request) {
    try {
      return Optional.of(new ServerExchange(ctx, request, options.maxBodyBytes(), this));
    } catch (IllegalArgumentException e) {
      // The path or the query is not valid percent-encoding.
      return Optional.empty();
    }
  }

  private static boolean hasBody(HttpRequest request) {
    return HttpUtil.isTransferEncodingChunked(request)
        || HttpUtil.getContentLength(request, 0L) > 0;
  }

  private void readContent(ChannelHandlerContext ctx, ByteBuf bytes, boolean last) {
    ServerExchange current = exchange;
    if (last) {
      inputEnded = true;
      cancelTimer();
      ctx.channel().config().setAutoRead(true);
    }
    if (current == null) {
      return;
    }
    current.receive(bytes, last);
    if (last && current.isAnswered()) {
      exchange = null;
    }
  }

  private void refuseMalformed(ChannelHandlerContext ctx, HttpObject message) {
    Throwable cause = message.decoderResult().cause();
    boolean tooLong = cause != null && cause.getClass().getSimpleName().startsWith("TooLong");
    HttpResponseStatus status =
        tooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    refuse(ctx, status);
  }

  private static void refuse(ChannelHandlerContext ctx, HttpResponseStatus status) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, ctx.alloc().buffer(0));
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, "close");
    ctx.writeAndFlush(response).addListener(done -> ctx.close());
  }

  private void onRequestTimeout(ChannelHandlerContext ctx) {
    ServerExchange current = exchange;
    if (inputEnded || current == null) {
      return;
    }
    current.fail(new HttpException(408, "the request did not arrive in time"));
    ctx.close();
  }

  /** Returns whether the current request has been read to its end. */
  boolean isInputEnded() {
    return inputEnded;
  }

  /** Returns the connection's number. */
  long number() {
    return number;
  }

  /** Called when the answer of the current exchange has been sent. */
  void answered(ChannelHandlerContext ctx, boolean keepAlive) {
    if (!keepAlive || !inputEnded) {
      ctx.close();
      return;
    }
    exchange = null;
  }

  private void cancelTimer() {
    Future<?> timer = requestTimer;
    if (timer != null) {
      timer.cancel(false);
      requestTimer = null;
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    ServerExchange current = exchange;
    if (current != null && ctx.channel().isWritable()) {
      current.writable();
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelTimer();
    ServerExchange current = exchange;
    exchange = null;
    if (current != null) {
      current.connectionClosed();
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent idle && isUnused(ctx, idle)) {
      ctx.close();
    }
    ctx.fireUserEventTriggered(event);
  }

  private boolean isUnused(ChannelHandlerContext ctx, IdleStateEvent idle) {
    if (idle.state() == IdleState.READER_IDLE) {
      return exchange == null;
    }
    // The caller reads nothing of what waits to be sent.
    long writable = ctx.channel().bytesBeforeUnwritable();
    return writable < ctx.channel().config().getWriteBufferHighWaterMark();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  static DefaultHttpContent content(ChannelHandlerContext ctx, byte[] bytes) {
    return new DefaultHttpContent(ctx.alloc().buffer(bytes.length).writeBytes(bytes));
  }
}
