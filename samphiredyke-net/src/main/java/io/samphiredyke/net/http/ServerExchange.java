package io.samphiredyke.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * A request and its response on a server connection, confined to the event loop of the connection.
 */
final class ServerExchange implements HttpExchange, ResponseStream {

  private final ChannelHandlerContext ctx;
  private final RequestHead request;
  private final String path;
  private final Map<String, String> query;
  private final long contentLength;
  private final int maxBodyBytes;
  private final ServerConnection connection;
  private final boolean keepAlive;
  private final CompletableFuture<byte[]> body = new CompletableFuture<>();
  private final CompletableFuture<Void> disconnected = new CompletableFuture<>();
  private final BodyBuffer received = new BodyBuffer();
  private final List<Runnable> writableActions = new ArrayList<>();
  private boolean bodyRequested;
  private boolean continueExpected;
  private boolean started;
  private volatile boolean ended;

  /**
   * Creates the exchange for a request.
   *
   * @throws IllegalArgumentException if the path or the query has invalid percent-encoding
   */
  ServerExchange(
      ChannelHandlerContext ctx,
      HttpRequest request,
      int maxBodyBytes,
      ServerConnection connection) {
    this.ctx = ctx;
    this.request = RequestHead.of(request);
    this.contentLength = HttpUtil.getContentLength(request, 0L);
    QueryStringDecoder uri = new QueryStringDecoder(request.uri());
    this.path = uri.path();
    this.query = firstValues(uri);
    this.maxBodyBytes = maxBodyBytes;
    this.connection = connection;
    this.keepAlive = HttpUtil.isKeepAlive(request);
  }

  @Override
  public String method() {
    return request.method().name();
  }

  @Override
  public String path() {
    return path;
  }

  @Override
  public Map<String, String> query() {
    return query;
  }

  private static Map<String, String> firstValues(QueryStringDecoder uri) {
    Map<String, String> first = new LinkedHashMap<>();
    uri.parameters().forEach((name, values) -> first.put(name, values.get(0)));
    return first;
  }

  @Override
  public @Nullable String header(String name) {
    return request.headers().get(name);
  }

  @Override
  public EventLoop eventLoop() {
    return ctx.channel().eventLoop();
  }

  @Override
  public long connectionNumber() {
    return connection.number();
  }

  @Override
  public CompletableFuture<byte[]> body() {
    onLoop(this::requestBody);
    return body;
  }

  private void requestBody() {
    if (bodyRequested) {
      return;
    }
    bodyRequested = true;
    if (contentLength > maxBodyBytes) {
      rejectLongBody();
      return;
    }
    if (continueExpected) {
      ctx.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
    ctx.channel().config().setAutoRead(true);
  }

  private void rejectLongBody() {
    body.completeExceptionally(
        new HttpException(413, "the body is longer than " + maxBodyBytes + " bytes"));
  }

  void expectContinue() {
    continueExpected = true;
  }

  boolean isResponseEnded() {
    return ended;
  }

  void receive(ByteBuf bytes, boolean last) {
    if (body.isDone()) {
      return;
    }
    if (received.size() + bytes.readableBytes() > maxBodyBytes) {
      rejectLongBody();
      return;
    }
    received.append(bytes);
    if (last) {
      body.complete(ByteBufUtil.getBytes(received.toByteBuf()));
    }
  }

  /** Returns the memory that the request occupies, in bytes. */
  long keptBytes() {
    return request.keptBytes() + received.capacity();
  }

  void fail(Throwable cause) {
    int status = cause instanceof HttpException known ? known.status() : 500;
    String message = cause.getMessage() == null ? cause.toString() : cause.getMessage();
    respond(
        status,
        Map.of("content-type", "text/plain; charset=utf-8"),
        message.getBytes(StandardCharsets.UTF_8));
  }

  void onConnectionClosed() {
    body.completeExceptionally(new ConnectionLostException("the caller closed the connection"));
    if (!ended) {
      ended = true;
      disconnected.complete(null);
    }
    onWritable();
  }

  void onWritable() {
    List<Runnable> actions = List.copyOf(writableActions);
    writableActions.clear();
    actions.forEach(Runnable::run);
  }

  @Override
  public void respond(int status, Map<String, String> headers, byte[] bytes) {
    onLoop(() -> sendResponse(status, headers, bytes));
  }

  private void sendResponse(int status, Map<String, String> headers, byte[] bytes) {
    if (started || ended) {
      return;
    }
    started = true;
    ended = true;
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(bytes));
    headers.forEach(response.headers()::set);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    setConnectionHeader(response);
    ctx.writeAndFlush(response).addListener(done -> connection.onResponseSent(ctx, keepAlive));
  }

  @Override
  public ResponseStream startStream(int status, Map<String, String> headers) {
    onLoop(() -> sendHead(status, headers));
    return this;
  }

  private void sendHead(int status, Map<String, String> headers) {
    if (started || ended) {
      return;
    }
    started = true;
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    headers.forEach(response.headers()::set);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setConnectionHeader(response);
    ctx.writeAndFlush(response);
  }

  private void setConnectionHeader(HttpResponse response) {
    if (!keepAlive || !connection.mayStayOpen()) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void write(byte[] chunk) {
    onLoop(
        () -> {
          if (!ended && chunk.length > 0) {
            ctx.writeAndFlush(ServerConnection.content(ctx, chunk));
          }
        });
  }

  @Override
  public boolean isWritable() {
    return ended || ctx.channel().isWritable();
  }

  @Override
  public void whenWritable(Runnable action) {
    onLoop(
        () -> {
          if (ended || ctx.channel().isWritable()) {
            action.run();
          } else {
            writableActions.add(action);
          }
        });
  }

  @Override
  public void end() {
    onLoop(
        () -> {
          if (ended) {
            return;
          }
          ended = true;
          ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
              .addListener(done -> connection.onResponseSent(ctx, keepAlive));
        });
  }

  @Override
  public void abort() {
    onLoop(
        () -> {
          ended = true;
          ctx.close();
        });
  }

  @Override
  public CompletableFuture<Void> disconnected() {
    return disconnected;
  }

  private void onLoop(Runnable action) {
    if (ctx.executor().inEventLoop()) {
      action.run();
    } else {
      ctx.executor().execute(action);
    }
  }
}
