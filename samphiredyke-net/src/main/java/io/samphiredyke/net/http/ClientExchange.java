package io.samphiredyke.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.channels.ClosedChannelException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A request and its response on a client connection, confined to the event loop of the connection.
 */
final class ClientExchange extends SimpleChannelInboundHandler<HttpObject> implements HttpStream {

  /** Interim responses to one request after which the server counts as faulty. */
  private static final int MAX_INTERIM_RESPONSES = 16;

  private final HttpClient client;
  private final HttpRequest request;
  private final StreamListener listener;
  private volatile @Nullable Channel channel;
  private volatile boolean closeRequested;
  private boolean finished;
  private boolean releasePending;
  private boolean isInterim;
  private int interimResponses;
  private boolean keepAlive = true;
  private long lastReadNanos;
  private boolean isTimeoutSuspected;
  private boolean isRequestSent;
  private boolean endsWithConnection;

  ClientExchange(HttpClient client, HttpRequest request, StreamListener listener) {
    this.client = client;
    this.request = request;
    this.listener = listener;
  }

  void start(Channel connected) {
    connected.eventLoop().execute(() -> send(connected));
  }

  /** Starts the exchange on a connection that has carried others. */
  void startOnReused(Channel connected) {
    connected.eventLoop().execute(listener::onConnectionReused);
    start(connected);
  }

  private void send(Channel connected) {
    channel = connected;
    if (closeRequested) {
      finished = true;
      connected.close();
      return;
    }
    ResponseDecoder decoder = connected.pipeline().get(ResponseDecoder.class);
    if (decoder == null) {
      // A connection that has ended has no handlers any more, and would report nothing.
      connectFailed(new ConnectFailedException(request.address(), new ClosedChannelException()));
      return;
    }
    DefaultFullHttpRequest encoded = encode();
    decoder.requestStarted(encoded.method());
    connected.pipeline().addLast(this);
    lastReadNanos = nanoTime(connected);
    connected.writeAndFlush(encoded).addListener(done -> onSent(done.cause()));
    scheduleInactivityCheck(connected, request.timeout().toNanos());
  }

  private void onSent(@Nullable Throwable cause) {
    isRequestSent = cause == null;
    if (cause != null) {
      fail(new ConnectionLostException("failed to send the request: " + cause.getMessage()));
    }
  }

  private DefaultFullHttpRequest encode() {
    DefaultFullHttpRequest encoded =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method()),
            request.path(),
            Unpooled.wrappedBuffer(request.body()));
    request.headers().forEach(encoded.headers()::set);
    if (!encoded.headers().contains(HttpHeaderNames.HOST)) {
      encoded.headers().set(HttpHeaderNames.HOST, hostHeader());
    }
    if (request.body().length > 0 || !request.method().equals("GET")) {
      encoded.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    return encoded;
  }

  private String hostHeader() {
    return request.address().getHostString() + ":" + request.address().getPort();
  }

  private void scheduleInactivityCheck(Channel connected, long delayNanos) {
    client.scheduleTimeout(connected, () -> checkInactivity(connected), delayNanos);
  }

  private void checkInactivity(Channel connected) {
    if (finished) {
      return;
    }
    long inactiveNanos = nanoTime(connected) - lastReadNanos;
    long timeoutNanos = request.timeout().toNanos();
    if (inactiveNanos < timeoutNanos) {
      isTimeoutSuspected = false;
      scheduleInactivityCheck(connected, timeoutNanos - inactiveNanos);
      return;
    }
    if (!connected.config().isAutoRead()) {
      scheduleInactivityCheck(connected, timeoutNanos);
      return;
    }
    if (!isTimeoutSuspected) {
      // Data may have arrived while the event loop was busy; a task that the loop itself schedules
      // runs after the next read.
      isTimeoutSuspected = true;
      scheduleInactivityCheck(connected, 1);
      return;
    }
    // What silenced this connection may have silenced the others to the same address as well.
    client.closeIdle(request.address());
    fail(new ConnectionLostException("no data received for " + request.timeout()));
  }

  private static long nanoTime(Channel connected) {
    return connected.eventLoop().ticker().nanoTime();
  }

  void connectFailed(ConnectFailedException cause) {
    if (finished || closeRequested) {
      return;
    }
    finished = true;
    listener.onFailure(cause);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (finished) {
      return;
    }
    lastReadNanos = nanoTime(ctx.channel());
    if (message.decoderResult().isFailure()) {
      fail(new ConnectionLostException("malformed HTTP response"));
      return;
    }
    if (message instanceof HttpResponse response) {
      isInterim = response.status().code() < HttpResponseStatus.OK.code();
      if (isInterim) {
        countInterimResponse();
        return;
      }
      readHead(ctx, response);
    }
    if (isInterim || finished) {
      return;
    }
    if (message instanceof HttpContent content) {
      readContent(content.content());
    }
    if (message instanceof LastHttpContent && !finished) {
      finish(ctx);
    }
  }

  private void readHead(ChannelHandlerContext ctx, HttpResponse response) {
    keepAlive = HttpUtil.isKeepAlive(response);
    if (ctx.pipeline().get(ResponseDecoder.class).endsWithConnection(response)) {
      if (request.requiresFraming()) {
        fail(new ConnectionLostException("a response without length and without chunks"));
        return;
      }
      endsWithConnection = true;
      listener.onEndsWithConnection();
    }
    listener.onHeaders(response.status().code(), headers(response));
  }

  private void countInterimResponse() {
    interimResponses++;
    if (interimResponses > MAX_INTERIM_RESPONSES) {
      fail(new ConnectionLostException("interim responses without end"));
    }
  }

  private void readContent(ByteBuf content) {
    if (!content.isReadable()) {
      return;
    }
    byte[] bytes = new byte[content.readableBytes()];
    content.readBytes(bytes);
    listener.onChunk(bytes);
  }

  private void finish(ChannelHandlerContext ctx) {
    if (endsWithConnection && !isRequestSent) {
      fail(new ConnectionLostException("the response ended before the request was sent"));
      return;
    }
    finished = true;
    ctx.channel().config().setAutoRead(true);
    boolean isReadCompletely = ctx.pipeline().get(ResponseDecoder.class).requestEnded();
    if (keepAlive && isReadCompletely) {
      releasePending = true;
      return;
    }
    ctx.close();
    listener.onEnd();
  }

  /** Returns the connection to the pool once no data is left in the present read. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (releasePending) {
      releasePending = false;
      ctx.pipeline().remove(this);
      client.release(request.address(), ctx.channel());
      listener.onEnd();
      return;
    }
    ctx.fireChannelReadComplete();
  }

  private static Map<String, String> headers(HttpResponse response) {
    Map<String, String> headers = new LinkedHashMap<>();
    response
        .headers()
        .forEach(entry -> headers.put(entry.getKey().toLowerCase(Locale.ROOT), entry.getValue()));
    return headers;
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (releasePending) {
      releasePending = false;
      listener.onEnd();
      return;
    }
    fail(new ConnectionLostException("the connection was closed before the end of the response"));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail(new ConnectionLostException("the connection failed: " + cause.getMessage()));
  }

  private void fail(ConnectionLostException cause) {
    if (finished) {
      return;
    }
    finished = true;
    Channel connected = channel;
    if (connected != null) {
      connected.close();
    }
    if (!closeRequested) {
      listener.onFailure(cause);
    }
  }

  @Override
  public boolean close() {
    closeRequested = true;
    Channel connected = channel;
    if (connected == null) {
      // send() sets the channel before it reads closeRequested, so it will not send the request.
      return true;
    }
    connected
        .eventLoop()
        .execute(
            () -> {
              if (!finished) {
                finished = true;
                connected.close();
              }
            });
    return false;
  }

  @Override
  public void setAutoRead(boolean reading) {
    Channel connected = channel;
    if (connected != null && !finished) {
      connected.config().setAutoRead(reading);
    }
  }
}
