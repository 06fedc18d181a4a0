package io.samphiredyke.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.net.http.BodyBuffer;
import io.samphiredyke.net.http.ClientMemory;
import io.samphiredyke.net.http.ConnectionLimit;
import io.samphiredyke.net.http.RequestDecoder;
import io.samphiredyke.net.http.RequestHead;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A caller's HTTP connection. It aggregates complete requests and handles them one at a time.
 *
 * <p>Reading continues while a request is processed, so that a disconnect of the caller is
 * detected. Pipelined requests are kept as bytes. When there are many, they are read slowly, so
 * that the operating system holds the rest back. None is decoded while many bytes of responses have
 * not been taken.
 */
final class FrontendConnection extends SimpleChannelInboundHandler<HttpObject>
    implements ClientMemory.Holder, ConnectionLimit.Connection {

  /** Time after which a request may be sent again for which no memory was left. */
  private static final int RETRY_AFTER_SECONDS = 1;

  private final FrontendServer server;
  private final PipelinedInput input;
  private final ClientMemory.Share memory;
  private @Nullable ChannelHandlerContext context;
  private @Nullable RequestHead head;
  private boolean keepAlive;
  private @Nullable BodyBuffer body;
  private long processedBytes;
  private @Nullable FrontendResponseWriter writer;
  private RequestHandler.@Nullable Observer observer;
  private long headArrivedAt;
  private long idleSince;
  private long firstByteAt = -1;
  private int unflushedResponses;
  private long unsentBytes = -1;
  private String lastRequestId = "";
  private boolean closing;
  private boolean isHeldBack;

  FrontendConnection(FrontendServer server, RequestDecoder decoder) {
    super(false);
    this.server = server;
    this.input = new PipelinedInput(decoder);
    this.memory = server.memory().open(this);
  }

  /** Returns a handler that records when the first byte of a request arrives, and paces reading. */
  ChannelHandler inputHandler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (firstByteAt < 0 && head == null && writer == null && !isHeldBack) {
          firstByteAt = now(ctx);
        }
        ctx.fireChannelRead(message);
        input.updateReading(ctx, mustWait());
        memory.set(keptBytes());
      }
    };
  }

  @Override
  public ConnectionLimit.Stage stage() {
    if (writer != null || unflushedResponses > 0) {
      return ConnectionLimit.Stage.PROCESSING;
    }
    return head != null || firstByteAt >= 0 || closing
        ? ConnectionLimit.Stage.RECEIVING
        : ConnectionLimit.Stage.IDLE;
  }

  /** Returns whether a request is received or processed, or its response is not yet sent. */
  boolean isBusy() {
    return head != null || stage() == ConnectionLimit.Stage.PROCESSING;
  }

  private static long now(ChannelHandlerContext ctx) {
    return ctx.channel().eventLoop().ticker().nanoTime();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    idleSince = now(ctx);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      reject(FrontendResponseWriter.statusOf(message.decoderResult().cause()));
      return;
    }
    if (message instanceof HttpRequest request) {
      startRequest(ctx, request);
    }
    if (message instanceof HttpContent content) {
      readContent(content);
    }
  }

  private void startRequest(ChannelHandlerContext ctx, HttpRequest request) {
    head = RequestHead.of(request);
    keepAlive = HttpUtil.isKeepAlive(request);
    headArrivedAt = now(ctx);
    firstByteAt = -1;
    body = new BodyBuffer();
    Optional<HttpResponseStatus> rejection =
        CallerHead.rejection(request, server.limits().maxBodyBytes());
    if (rejection.isPresent()) {
      reject(rejection.get());
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      ctx.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void readContent(HttpContent content) {
    BodyBuffer collected = body;
    RequestHead request = head;
    if (collected == null || request == null) {
      content.release();
      return;
    }
    collected.append(content.content());
    content.release();
    if (collected.size() > server.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (content instanceof LastHttpContent) {
      processedBytes = collected.capacity() + CallerHead.handledBytes(request);
      handleRequest(request, collected.toByteBuf());
    }
  }

  private void handleRequest(RequestHead request, ByteBuf completeBody) {
    ChannelHandlerContext ctx = context;
    if (ctx == null) {
      completeBody.release();
      return;
    }
    head = null;
    body = null;
    lastRequestId = CallerHead.idOf(request);
    FrontendResponseWriter current = new FrontendResponseWriter(this, ctx, keepAlive);
    writer = current;
    RequestHandler.Observer requestObserver =
        server.handler().handle(new CallerRequest(request, completeBody, headArrivedAt, current));
    if (writer == current) {
      observer = requestObserver;
    }
  }

  /** Returns whether the response is the last one, because the server drains. */
  boolean endsAfterResponse() {
    return input.isDiscarded() || server.isDraining() && !input.hasBytes();
  }

  /**
   * Called when a complete response has been written to the connection's buffer.
   *
   * @param flushed completes when the operating system has the whole response
   */
  void responseCompleted(boolean keepAlive, ChannelFuture flushed) {
    ChannelHandlerContext ctx = context;
    writer = null;
    observer = null;
    processedBytes = 0;
    if (ctx == null) {
      return;
    }
    idleSince = now(ctx);
    unflushedResponses++;
    flushed.addListener(
        done -> {
          unflushedResponses--;
          idleSince = now(ctx);
          server.becameIdle(this);
        });
    if (!keepAlive) {
      closing = true;
      input.discard();
      memory.set(keptBytes());
      flushed.addListener(ChannelFutureListener.CLOSE);
      return;
    }
    readNext(ctx);
  }

  /** Returns whether the next request is not decoded yet. */
  private boolean mustWait() {
    return writer != null || isHeldBack;
  }

  /** Decodes the next request, unless the caller has yet to take the responses before it. */
  private void readNext(ChannelHandlerContext ctx) {
    isHeldBack = !ctx.channel().isWritable();
    if (isHeldBack) {
      input.updateReading(ctx, true);
      memory.set(keptBytes());
      return;
    }
    input.next();
    if (!mustWait() && head == null && firstByteAt < 0 && input.hasBytes()) {
      firstByteAt = now(ctx);
    }
    input.updateReading(ctx, mustWait());
    memory.set(keptBytes());
  }

  private void reject(HttpResponseStatus status) {
    ChannelHandlerContext ctx = context;
    logRejected(status.code(), status.reasonPhrase());
    closing = true;
    head = null;
    body = null;
    input.discard();
    memory.set(keptBytes());
    if (ctx == null) {
      return;
    }
    ctx.writeAndFlush(FrontendResponseWriter.rejection(status, RETRY_AFTER_SECONDS))
        .addListener(ChannelFutureListener.CLOSE);
  }

  /** Logs that what arrived is not handled; no request is known if its head is incomplete. */
  private void logRejected(int status, String reason) {
    server.log().event("rejected", "id", name(), "status", status, "reason", reason);
  }

  /** Closes the connection unless it is processing or receiving a request. */
  void closeIfIdle() {
    if (stage() == ConnectionLimit.Stage.IDLE) {
      close();
    }
  }

  @Override
  public void close() {
    ChannelHandlerContext ctx = context;
    closing = true;
    if (ctx != null) {
      ctx.close();
    }
  }

  /** Enforces the header and idle timeouts, the latter also while a response is sent. */
  void checkTimeouts(CallerLimits limits, long now) {
    ChannelHandlerContext ctx = context;
    if (ctx == null) {
      return;
    }
    if (mustWait()) {
      input.readSlowly(ctx);
    }
    if (writer != null) {
      return;
    }
    long headNanos = TimeUnit.MILLISECONDS.toNanos(limits.headerTimeoutMillis());
    long idleNanos = TimeUnit.MILLISECONDS.toNanos(limits.idleTimeoutMillis());
    if (closing || head == null && firstByteAt < 0 && unflushedResponses > 0) {
      closeIfNotRead(ctx, idleNanos, now);
    } else if (head == null && firstByteAt >= 0 && now - firstByteAt > headNanos) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT);
    } else if (head != null && now - headArrivedAt > idleNanos) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT);
    } else if (head == null && firstByteAt < 0 && now - idleSince > idleNanos) {
      close();
    }
  }

  /** Closes the connection if the caller has taken nothing of its response for some time. */
  private void closeIfNotRead(ChannelHandlerContext ctx, long idleNanos, long now) {
    ChannelOutboundBuffer output = ctx.channel().unsafe().outboundBuffer();
    long unsent = output == null ? 0 : output.totalPendingWriteBytes() - output.currentProgress();
    if (unsent != unsentBytes) {
      unsentBytes = unsent;
      idleSince = now;
    } else if (now - idleSince > idleNanos) {
      server.log().event("response_not_read", "id", lastRequestId, "unsent_bytes", unsent);
      close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    RequestHandler.Observer current = observer;
    if (current != null && ctx.channel().isWritable()) {
      current.onWritable();
    }
    if (isHeldBack && !closing && ctx.channel().isWritable()) {
      readNext(ctx);
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    server.closed(this);
    memory.close();
    body = null;
    RequestHandler.Observer currentObserver = observer;
    FrontendResponseWriter currentWriter = writer;
    writer = null;
    observer = null;
    if (currentWriter != null) {
      currentWriter.markClosed();
    }
    if (currentObserver != null) {
      currentObserver.onDisconnected();
    }
    ctx.fireChannelInactive();
  }

  /** Returns the memory that the connection's requests occupy. */
  private long keptBytes() {
    RequestHead request = head;
    BodyBuffer collected = body;
    return processedBytes
        + input.keptBytes()
        + (request == null ? 0 : request.keptBytes())
        + (collected == null ? 0 : collected.capacity());
  }

  @Override
  public long reclaimableBytes() {
    if (closing) {
      return 0;
    }
    RequestHandler.Observer current = observer;
    boolean isWaiting = current != null && current.isWaiting();
    return writer == null || isWaiting ? keptBytes() : input.keptBytes();
  }

  @Override
  public String name() {
    RequestHead request = head;
    String processed = writer == null ? "" : lastRequestId;
    return request == null ? processed : CallerHead.idOf(request);
  }

  /** Refuses the request unless it may run, and ends the connection after its response. */
  @Override
  public void giveWay() {
    if (writer == null) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
      return;
    }
    input.discard();
    RequestHandler.Observer current = observer;
    if (current != null && current.isWaiting()) {
      current.refuse("no memory for waiting requests", RETRY_AFTER_SECONDS * 1_000);
    }
    memory.set(keptBytes());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      logRejected(0, String.valueOf(cause));
    }
    ctx.close();
  }
}
