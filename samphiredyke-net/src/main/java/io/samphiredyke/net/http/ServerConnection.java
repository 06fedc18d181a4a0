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
 * Reads the requests of a server connection sequentially.
 *
 * <p>Reading is paused after the head of a request until the handler asks for the body, so that the
 * body of a request that is rejected by its head is not received. Reading resumes after the body,
 * so that a closed connection is detected while a response is being sent. Pipelined requests are
 * handled in turn; a connection on which more than a head is kept for them is closed.
 */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject>
    implements ClientMemory.Holder, ConnectionLimit.Connection {

  private static final AtomicLong LAST_NUMBER = new AtomicLong();

  private final long number = LAST_NUMBER.incrementAndGet();
  private final HttpServerOptions options;
  private final HttpHandler handler;
  private final RequestDecoder decoder;
  private final ClientMemory.Share memory;
  private final ConnectionLimit<ServerConnection> limit;
  private @Nullable ServerExchange exchange;
  private @Nullable Future<?> requestTimer;
  private @Nullable ChannelHandlerContext context;
  private boolean inputEnded = true;
  private boolean isLast;
  private long requestCount;

  ServerConnection(
      HttpServerOptions options,
      HttpHandler handler,
      RequestDecoder decoder,
      ClientMemory memories,
      ConnectionLimit<ServerConnection> limit) {
    this.options = options;
    this.handler = handler;
    this.decoder = decoder;
    this.memory = memories.open(this);
    this.limit = limit;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      rejectMalformed(ctx, message);
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

  /** Returns whether no request is in progress. */
  boolean isBetweenRequests() {
    return exchange == null && inputEnded;
  }

  /** Returns the number of requests whose head was received. */
  long requestCount() {
    return requestCount;
  }

  /** Rejects a request whose head was not received within the timeout. */
  void onHeadTimeout() {
    ChannelHandlerContext ctx = context;
    if (ctx != null) {
      reject(ctx, HttpResponseStatus.REQUEST_TIMEOUT);
    }
  }

  private void startExchange(ChannelHandlerContext ctx, HttpRequest request) {
    requestCount++;
    inputEnded = !hasBody(request);
    ctx.channel().config().setAutoRead(false);
    long timeoutMillis = options.requestTimeout().toMillis();
    requestTimer =
        ctx.executor().schedule(() -> onRequestTimeout(ctx), timeoutMillis, TimeUnit.MILLISECONDS);
    Optional<ServerExchange> valid = exchange(ctx, request);
    if (valid.isEmpty()) {
      reject(ctx, HttpResponseStatus.BAD_REQUEST);
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
      // The path or the query has invalid percent-encoding.
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
    if (last && current.isResponseEnded()) {
      endExchange();
    }
  }

  private void endExchange() {
    exchange = null;
    decoder.next();
    memory.set(keptBytes());
    limit.becameIdle(this);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (exchange != null && inputEnded && decoder.keptBytes() > 2L * options.maxHeaderBytes()) {
      ctx.close();
    }
    memory.set(keptBytes());
    ctx.fireChannelReadComplete();
  }

  private long keptBytes() {
    ServerExchange current = exchange;
    return decoder.keptBytes() + (current == null ? 0 : current.keptBytes());
  }

  /** A request that is handled may run, so that only one that is being received gives way. */
  @Override
  public long reclaimableBytes() {
    return inputEnded && exchange != null ? decoder.keptBytes() : keptBytes();
  }

  @Override
  public ConnectionLimit.Stage stage() {
    if (exchange != null && inputEnded) {
      return ConnectionLimit.Stage.PROCESSING;
    }
    return exchange != null || decoder.hasUndecodedBytes()
        ? ConnectionLimit.Stage.RECEIVING
        : ConnectionLimit.Stage.IDLE;
  }

  @Override
  public void close() {
    ChannelHandlerContext ctx = context;
    if (ctx != null) {
      ctx.close();
    }
  }

  @Override
  public String name() {
    ChannelHandlerContext ctx = context;
    return ctx == null ? "" : String.valueOf(ctx.channel().remoteAddress());
  }

  /** Drops what is not handled; a response that is under way is completed before the end. */
  @Override
  public void giveWay() {
    if (inputEnded && exchange != null) {
      isLast = true;
      decoder.discard();
      memory.set(keptBytes());
      return;
    }
    memory.close();
    close();
  }

  private void rejectMalformed(ChannelHandlerContext ctx, HttpObject message) {
    Throwable cause = message.decoderResult().cause();
    boolean tooLong = cause != null && cause.getClass().getSimpleName().startsWith("TooLong");
    HttpResponseStatus status =
        tooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    reject(ctx, status);
  }

  private static void reject(ChannelHandlerContext ctx, HttpResponseStatus status) {
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

  /** Returns whether another request may follow the current one. */
  boolean mayStayOpen() {
    return inputEnded && !isLast;
  }

  /** Returns the number of the connection, unique in this process. */
  long number() {
    return number;
  }

  /** Called after the response of the current exchange was sent. */
  void onResponseSent(ChannelHandlerContext ctx, boolean keepAlive) {
    if (!keepAlive || !mayStayOpen()) {
      ctx.close();
      return;
    }
    endExchange();
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
      current.onWritable();
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelTimer();
    memory.close();
    limit.ended(this);
    ServerExchange current = exchange;
    exchange = null;
    if (current != null) {
      current.onConnectionClosed();
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent idle && shouldClose(ctx, idle)) {
      ctx.close();
    }
    ctx.fireUserEventTriggered(event);
  }

  private boolean shouldClose(ChannelHandlerContext ctx, IdleStateEvent idle) {
    if (idle.state() == IdleState.READER_IDLE) {
      return exchange == null;
    }
    // Nothing was written for the timeout, although data is buffered: the caller does not read.
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
