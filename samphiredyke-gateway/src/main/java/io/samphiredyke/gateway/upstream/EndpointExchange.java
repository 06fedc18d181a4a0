package io.samphiredyke.gateway.upstream;

import io.netty.buffer.ByteBuf;
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
import io.samphiredyke.platform.EndpointResponseHead;
import org.jspecify.annotations.Nullable;

/**
 * One request on a connection to an endpoint.
 *
 * <p>Answers with another request's id are skipped: an endpoint may repeat an earlier answer late.
 * The connection is kept only after a whole answer to a request that was sent whole, and only once
 * everything that had arrived is read, so that surplus bytes never reach the next request.
 */
public final class EndpointExchange extends SimpleChannelInboundHandler<HttpObject> {

  private static final int FIRST_FINAL_STATUS = 200;

  private final EndpointConnectionPool connections;
  private final OutgoingRequest request;
  private final ExchangeListener listener;
  private final boolean isKept;
  private @Nullable Channel channel;
  private boolean sentWhole;
  private boolean finished;
  private boolean returning;
  private boolean skipping;
  private boolean reusable;
  private boolean hasHead;
  private int keepAliveSeconds = -1;

  EndpointExchange(
      EndpointConnectionPool connections,
      OutgoingRequest request,
      ExchangeListener listener,
      boolean isKept) {
    this.connections = connections;
    this.request = request;
    this.listener = listener;
    this.isKept = isKept;
  }

  void send(Channel connected) {
    if (finished) {
      connected.close();
      return;
    }
    channel = connected;
    connected.pipeline().addLast(this);
    ByteBuf body = request.body();
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, request.method(), request.uri(), body.retainedDuplicate());
    message.headers().set(request.headers());
    if (body.isReadable() || !request.method().equals(HttpMethod.GET)) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    connected.writeAndFlush(message).addListener(done -> onSent(done.cause()));
  }

  private void onSent(@Nullable Throwable cause) {
    if (cause == null) {
      sentWhole = true;
      return;
    }
    fail("sending failed: " + cause.getMessage());
  }

  void connectFailed(String reason) {
    if (!finished) {
      finished = true;
      listener.onFailure(new ExchangeFailure(true, false, reason));
    }
  }

  /** Gives the exchange up; the endpoint sees the connection close. */
  public void cancel() {
    if (finished) {
      return;
    }
    finished = true;
    Channel open = channel;
    if (open != null) {
      open.close();
    }
  }

  /** Stops or resumes reading, so that a slow caller slows the endpoint down. */
  public void setReading(boolean reading) {
    Channel open = channel;
    if (open != null && !finished) {
      open.config().setAutoRead(reading);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (finished) {
      if (returning) {
        // Surplus bytes after a whole answer belong to no request.
        returning = false;
        ctx.close();
      }
      return;
    }
    if (message.decoderResult().isFailure()) {
      fail("the answer is not valid HTTP");
      return;
    }
    if (message instanceof HttpResponse response) {
      readHead(response);
    }
    if (message instanceof HttpContent content && !finished) {
      readContent(ctx, content);
    }
  }

  private void readHead(HttpResponse response) {
    EndpointResponseHead head = EndpointResponseHead.decode(response);
    boolean isOthers = !head.requestId().isEmpty() && !head.requestId().equals(request.requestId());
    skipping = isOthers || head.status() < FIRST_FINAL_STATUS;
    if (skipping) {
      return;
    }
    hasHead = true;
    keepAliveSeconds = head.keepAliveSeconds();
    boolean endsWithConnection =
        !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
    reusable = HttpUtil.isKeepAlive(response) && !endsWithConnection;
    listener.onHead(head, response);
  }

  private void readContent(ChannelHandlerContext ctx, HttpContent content) {
    boolean isLast = content instanceof LastHttpContent;
    if (skipping) {
      skipping = !isLast;
      return;
    }
    if (!hasHead) {
      return;
    }
    if (content.content().isReadable()) {
      listener.onContent(content.content());
    }
    if (isLast && !finished) {
      finished = true;
      ctx.channel().config().setAutoRead(true);
      if (reusable && sentWhole) {
        returning = true;
      } else {
        ctx.close();
      }
      listener.onEnd();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (returning) {
      returning = false;
      ctx.pipeline().remove(this);
      connections.keep(ctx.channel(), keepAliveSeconds);
      return;
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(hasHead ? "the connection ended within the answer" : "the connection ended");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail("the connection failed: " + cause.getMessage());
  }

  private void fail(String reason) {
    if (finished) {
      return;
    }
    finished = true;
    Channel open = channel;
    if (open != null) {
      open.close();
    }
    listener.onFailure(new ExchangeFailure(false, isKept, reason));
  }
}
