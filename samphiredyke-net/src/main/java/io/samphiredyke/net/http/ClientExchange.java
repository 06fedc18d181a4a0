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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** One request on a client's connection. State is touched on the connection's event loop only. */
final class ClientExchange extends SimpleChannelInboundHandler<HttpObject> implements HttpStream {

  private final HttpClient client;
  private final HttpRequest request;
  private final StreamListener listener;
  private volatile @Nullable Channel channel;
  private volatile boolean closeAsked;
  private boolean finished;
  private boolean keepAlive = true;
  private long lastReadNanos;

  ClientExchange(HttpClient client, HttpRequest request, StreamListener listener) {
    this.client = client;
    this.request = request;
    this.listener = listener;
  }

  void start(Channel connected) {
    connected.eventLoop().execute(() -> send(connected));
  }

  private void send(Channel connected) {
    channel = connected;
    if (closeAsked) {
      finished = true;
      connected.close();
      return;
    }
    connected.pipeline().addLast(this);
    lastReadNanos = nanoTime(connected);
    connected.writeAndFlush(encode()).addListener(done -> onSent(done.cause()));
    watch(connected, request.timeout().toNanos());
  }

  private void onSent(@Nullable Throwable cause) {
    if (cause != null) {
      fail(new ConnectionLostException("the request could not be sent: " + cause.getMessage()));
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

  private void watch(Channel connected, long waitNanos) {
    client.scheduleTimeout(connected, () -> checkSilence(connected), waitNanos);
  }

  private void checkSilence(Channel connected) {
    if (finished) {
      return;
    }
    long silent = nanoTime(connected) - lastReadNanos;
    long allowed = request.timeout().toNanos();
    if (silent < allowed) {
      watch(connected, allowed - silent);
      return;
    }
    if (!connected.config().isAutoRead()) {
      watch(connected, allowed);
      return;
    }
    fail(new ConnectionLostException("the connection was silent for " + request.timeout()));
  }

  private static long nanoTime(Channel connected) {
    return connected.eventLoop().ticker().nanoTime();
  }

  void connectFailed(ConnectFailedException cause) {
    if (finished || closeAsked) {
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
      fail(new ConnectionLostException("the answer is not valid HTTP"));
      return;
    }
    if (message instanceof HttpResponse response) {
      keepAlive = HttpUtil.isKeepAlive(response);
      listener.onHeaders(response.status().code(), headers(response));
    }
    if (message instanceof HttpContent content) {
      readContent(content.content());
    }
    if (message instanceof LastHttpContent && !finished) {
      finish(ctx);
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
    finished = true;
    Channel connected = ctx.channel();
    connected.config().setAutoRead(true);
    ctx.pipeline().remove(this);
    if (keepAlive) {
      client.keep(request.address(), connected);
    } else {
      connected.close();
    }
    listener.onEnd();
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
    fail(new ConnectionLostException("the connection was closed before the answer ended"));
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
    if (!closeAsked) {
      listener.onFailure(cause);
    }
  }

  @Override
  public boolean close() {
    closeAsked = true;
    Channel connected = channel;
    if (connected == null) {
      // send() sets the channel before it looks at closeAsked, so it will not send.
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
