package io.samphiredyke.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.samphiredyke.net.http.ResponseDecoder;
import io.samphiredyke.platform.EndpointRequestHead;
import io.samphiredyke.platform.EndpointResponseHead;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Exchange of one request and its response on a connection to an endpoint.
 *
 * <p>Responses with the id of another request are skipped, because an endpoint may send an earlier
 * response once more. The connection is returned to the pool only after a complete response to a
 * completely sent request, and only when all received data has been read, so that surplus bytes
 * never reach the next request. A response without id ends its connection, so that a later copy of
 * it never reaches the next request either.
 *
 * <p>A response that ends with its connection is not complete if the endpoint ended it before it
 * had read the request: the request has not been sent as a whole, or the endpoint resets the
 * connection when the rest arrives. For the latter the connection is kept half open, until {@link
 * #checkReset} or {@link #cancel}.
 */
public final class EndpointExchange extends SimpleChannelInboundHandler<HttpObject>
    implements ConnectionAttempt.Listener {

  private static final int FIRST_FINAL_STATUS = 200;

  /**
   * Interim responses and responses to other requests, during one request, after which the endpoint
   * counts as faulty.
   */
  private static final int MAX_SKIPPED_RESPONSES = 16;

  /**
   * Size of a response to another request after which the endpoint counts as faulty; a complete one
   * that was sent twice is smaller.
   */
  private static final int MAX_SKIPPED_BYTES = 512 * 1024;

  /** Time for a response that arrived although sending the request failed, in milliseconds. */
  private static final long READ_AFTER_FAILURE_MILLIS = 100;

  private final EndpointConnectionPool connections;
  private final EndpointTarget target;
  private final OutgoingRequest request;
  private final ExchangeListener listener;
  private final boolean isReused;
  private @Nullable Channel channel;
  private CarriedIds carried = new CarriedIds();
  private @Nullable ForeignBytesFilter filter;
  private long sentAt;
  private final long createdAt;
  private boolean requestSent;
  private boolean finished;
  private boolean returnPending;
  private boolean skippingResponse;
  private boolean hasSkippedResponse;
  private int skippedResponses;
  private int skippedBytes;
  private boolean reusable;
  private boolean hasHead;
  private boolean endsWithConnection;
  private @Nullable ResetCheck resetCheck;
  private int keepAliveSeconds = -1;

  EndpointExchange(
      EndpointConnectionPool connections,
      EndpointTarget target,
      OutgoingRequest request,
      ExchangeListener listener,
      boolean isReused) {
    this.connections = connections;
    this.target = target;
    this.request = request;
    this.listener = listener;
    this.isReused = isReused;
    this.createdAt = connections.now();
  }

  void send(Channel connected) {
    if (finished) {
      connected.close();
      return;
    }
    if (!listener.isStillWanted()) {
      connected.close();
      failed("the endpoint accepts no requests any more", false);
      return;
    }
    channel = connected;
    carried = connections.carries(connected, request.requestId());
    sentAt = connected.eventLoop().ticker().nanoTime();
    connections.sent(this, target, request.requestId(), connected);
    connected.pipeline().get(ResponseDecoder.class).requestStarted(request.method());
    connected.pipeline().addLast(this);
    ByteBuf body = request.body();
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, request.method(), request.uri(), body.retainedDuplicate());
    message.headers().set(request.headers().get());
    EndpointRequestHead.deductTimeLeft(
        message.headers(), TimeUnit.NANOSECONDS.toMillis(sentAt - createdAt));
    if (body.isReadable() || !request.method().equals(HttpMethod.GET)) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    connected.writeAndFlush(message).addListener(done -> onSent(done.cause()));
  }

  private void onSent(@Nullable Throwable cause) {
    if (cause == null) {
      requestSent = true;
      return;
    }
    // An endpoint may respond before it has read all, and end the connection behind its response.
    String reason = "sending failed: " + cause.getMessage();
    Channel open = channel;
    if (open == null || !open.isOpen() || finished) {
      fail(reason);
      return;
    }
    open.eventLoop().schedule(() -> fail(reason), READ_AFTER_FAILURE_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public boolean isWanted() {
    return !finished;
  }

  @Override
  public void connected(Channel connected) {
    send(connected);
  }

  @Override
  public void failed(ConnectFailure failure) {
    failed(failure.reason(), failure.isPathSuspect());
  }

  private void failed(String reason, boolean isPathSuspect) {
    if (!finished) {
      finished = true;
      listener.onFailure(new ExchangeFailure(true, false, false, isPathSuspect, reason));
    }
  }

  boolean isReused() {
    return isReused;
  }

  /**
   * Returns whether the path to the endpoint may fail rather than the endpoint: the request goes
   * through a peer, or this host's own path is lost.
   */
  public boolean isPathSuspect() {
    Channel open = channel;
    boolean isTunnelled = open != null && EndpointConnectionPool.peerOf(open) != null;
    return isTunnelled || connections.isPathLost(target.address());
  }

  /** Returns the host through which the request goes, empty if it goes directly. */
  public String peer() {
    Channel open = channel;
    String peer = open == null ? null : EndpointConnectionPool.peerOf(open);
    return peer == null ? "" : peer;
  }

  /** Cancels the exchange by closing the connection, which the endpoint detects. */
  public void cancel() {
    Channel open = channel;
    if (finished) {
      if (resetCheck != null && open != null) {
        open.close();
      }
      return;
    }
    finished = true;
    if (open != null) {
      open.close();
      if (isReused && EndpointConnectionPool.peerOf(open) == null) {
        connections.givenUp(target, sentAt);
      }
    }
  }

  /**
   * Pauses or resumes reading, which applies the back pressure of a slow caller to the endpoint.
   */
  public void setReading(boolean reading) {
    Channel open = channel;
    if (open != null && !finished) {
      open.config().setAutoRead(reading);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (finished) {
      return;
    }
    if (message.decoderResult().cause() instanceof PrematureChannelClosureException) {
      fail("the connection ended within a head", true);
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
    String outline = carried.add(response);
    if (head.hasSeveralIds()) {
      fail("the answer states several ids");
      return;
    }
    boolean isOtherRequest =
        !head.requestId().isEmpty() && !head.requestId().equals(request.requestId());
    skippingResponse = isOtherRequest || head.status() < FIRST_FINAL_STATUS;
    if (skippingResponse) {
      if (isOtherRequest) {
        hasSkippedResponse = true;
        listener.onSkipped(head);
      }
      skippedResponses++;
      if (skippedResponses > MAX_SKIPPED_RESPONSES) {
        fail("interim responses or responses to other requests without end");
      }
      return;
    }
    if (head.requestId().isEmpty() && !acceptWithoutId(head)) {
      fail("the answer states no id");
      return;
    }
    hasHead = true;
    keepAliveSeconds = head.keepAliveSeconds();
    endsWithConnection =
        !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
    reusable = !head.requestId().isEmpty() && HttpUtil.isKeepAlive(response) && !endsWithConnection;
    Channel open = channel;
    if (endsWithConnection && open != null) {
      resetCheck = ResetCheck.prepare(open, request.body().readableBytes());
    }
    boolean hasEvents = request.expectsEvents() && head.isSuccess();
    String unsizedOutline = endsWithConnection ? outline : "";
    filter =
        hasEvents
            ? null
            : new ForeignBytesFilter(
                carried, request.requestId(), unsizedOutline, listener::onContent);
    listener.onHead(head, response);
  }

  /**
   * Tells whether the endpoint has not reset the connection since it ended the response. The caller
   * then has to cancel the exchange, which closes the connection.
   */
  public void checkReset(Consumer<Boolean> listener) {
    ResetCheck held = resetCheck;
    if (held == null) {
      listener.accept(true);
    } else {
      held.begin(listener);
    }
  }

  /**
   * Returns whether a response without id is the response to the request. All earlier responses on
   * the connection stated an id, so that it is not one of them. Only a statement that the request
   * was not run is accepted, and none from an endpoint that has just sent another response.
   */
  private boolean acceptWithoutId(EndpointResponseHead head) {
    connections.receivedWithoutId();
    return request.requestId().isEmpty() || head.isNotRun() && !hasSkippedResponse;
  }

  private void readContent(ChannelHandlerContext ctx, HttpContent content) {
    boolean isLast = content instanceof LastHttpContent;
    if (skippingResponse) {
      skippingResponse = !isLast;
      skippedBytes += content.content().readableBytes();
      if (skippedBytes > MAX_SKIPPED_BYTES) {
        fail("a response to another request without end");
      }
      return;
    }
    if (!hasHead) {
      return;
    }
    if (content.content().isReadable()) {
      passOn(content.content());
    }
    if (isLast && endsWithConnection && !requestSent) {
      fail("the response ended before the request was sent", true);
      return;
    }
    if (isLast && !finished) {
      endBody();
    }
    if (isLast && !finished) {
      finished = true;
      ctx.channel().config().setAutoRead(true);
      boolean isReadCompletely = ctx.pipeline().get(ResponseDecoder.class).requestEnded();
      if (reusable && requestSent && isReadCompletely) {
        returnPending = true;
      } else if (resetCheck == null) {
        ctx.close();
      }
      listener.onEnd();
    }
  }

  private void passOn(ByteBuf content) {
    ForeignBytesFilter scanned = filter;
    if (scanned == null) {
      listener.onContent(content);
    } else if (scanned.accept(content) && !finished) {
      failForeign(scanned);
    }
  }

  private void endBody() {
    ForeignBytesFilter scanned = filter;
    if (scanned == null) {
      return;
    }
    if (scanned.end()) {
      failForeign(scanned);
    } else if (scanned.hasWholeCopy()) {
      listener.onForeignBytes(scanned.position(), scanned.statedId(), true);
    }
  }

  private void failForeign(ForeignBytesFilter scanned) {
    listener.onForeignBytes(scanned.position(), scanned.statedId(), false);
    fail("the body contains the head of another response");
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (returnPending) {
      returnPending = false;
      ctx.pipeline().remove(this);
      connections.release(ctx.channel(), keepAliveSeconds);
      return;
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(hasHead ? "the connection ended within the answer" : "the connection ended", true);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail("the connection failed: " + cause.getMessage(), cause instanceof SocketException);
  }

  private void fail(String reason) {
    fail(reason, false);
  }

  private void fail(String reason, boolean isConnectionEnd) {
    if (finished) {
      return;
    }
    finished = true;
    Channel open = channel;
    if (open != null) {
      open.close();
    }
    listener.onFailure(
        new ExchangeFailure(false, isReused, isConnectionEnd, isPathSuspect(), reason));
  }
}
