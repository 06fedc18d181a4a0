package io.samphiredyke.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.samphiredyke.core.liveness.ProbeResult;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.net.http.ResponseDecoder;
import io.samphiredyke.platform.EndpointReport;
import io.samphiredyke.platform.EndpointResponseHead;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Asks an endpoint for its report on one connection, to see whether its process still runs. Any
 * response shows that a process runs; a refusal or another start time, that it is another one.
 *
 * <p>On a connection that was used before, the copy of an earlier response may arrive, which states
 * the id of its request and shows nothing. The connection is closed after the response, as nothing
 * would distinguish a copy of it.
 */
final class LivenessProbe extends SimpleChannelInboundHandler<HttpObject>
    implements ConnectionAttempt.Listener {

  /** Receives the course of a probe, on the event loop. */
  interface Listener {

    /** Called when the question is sent. */
    void onSent();

    /** Called once with the result, unless the probe is cancelled. */
    void onResult(ProbeResult result, boolean isNewConnection);
  }

  /** Time for the response on a kept connection, which may have been silenced. */
  private static final long KEPT_MILLIS = SilenceMonitor.SUSPICIOUS_MILLIS;

  /** Time for the rest of a response after its head. */
  private static final long BODY_MILLIS = 1_000;

  /** Size up to which a report is read; known ones have a few kilobytes. */
  private static final int MAX_REPORT_BYTES = 64 * 1024;

  private final EventLoop loop;
  private final EndpointRecord endpoint;
  private final Listener listener;
  private final boolean isNewConnection;
  private final ByteArrayOutputStream report = new ByteArrayOutputStream();
  private @Nullable Channel channel;
  private boolean isSkipping;
  private boolean hasHead;
  private boolean finished;

  LivenessProbe(
      EventLoop loop, EndpointRecord endpoint, boolean isNewConnection, Listener listener) {
    this.loop = loop;
    this.endpoint = endpoint;
    this.isNewConnection = isNewConnection;
    this.listener = listener;
  }

  @Override
  public boolean isWanted() {
    return !finished;
  }

  @Override
  public void connected(Channel connected) {
    if (finished) {
      connected.close();
      return;
    }
    channel = connected;
    connected.pipeline().get(ResponseDecoder.class).requestStarted(HttpMethod.GET);
    connected.pipeline().addLast(this);
    if (!isNewConnection) {
      loop.schedule(() -> finish(ProbeResult.CLOSED), KEPT_MILLIS, TimeUnit.MILLISECONDS);
    }
    listener.onSent();
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, EndpointReport.PATH, Unpooled.EMPTY_BUFFER);
    request.headers().set(EndpointReport.headers(endpoint.address(), endpoint.id()));
    connected.writeAndFlush(request);
  }

  @Override
  public void failed(ConnectFailure failure) {
    finish(failure.isRefused() ? ProbeResult.REFUSED : ProbeResult.UNREACHED);
  }

  /** Ends the probe without a result. */
  void cancel() {
    finished = true;
    Channel open = channel;
    if (open != null) {
      open.close();
    }
  }

  private void finish(ProbeResult result) {
    if (finished) {
      return;
    }
    cancel();
    listener.onResult(result, isNewConnection);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      // On a new connection any byte is one of a process that runs now.
      finish(isNewConnection ? ProbeResult.RESPONDED : ProbeResult.CLOSED);
      return;
    }
    if (message instanceof HttpResponse response) {
      readHead(response);
    }
    if (message instanceof HttpContent content && !finished) {
      readContent(content);
    }
  }

  private void readHead(HttpResponse response) {
    EndpointResponseHead head = EndpointResponseHead.decode(response);
    boolean isInterim = head.status() < HttpResponseStatus.OK.code();
    isSkipping = isInterim || !isNewConnection && !head.requestId().isEmpty();
    if (isSkipping) {
      return;
    }
    hasHead = true;
    if (head.status() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      finish(ProbeResult.OTHER_INSTANCE);
    } else if (head.status() != HttpResponseStatus.OK.code()) {
      finish(ProbeResult.RESPONDED);
    } else {
      loop.schedule(() -> finish(ProbeResult.RESPONDED), BODY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void readContent(HttpContent content) {
    if (isSkipping) {
      return;
    }
    ByteBuf part = content.content();
    int length = Math.min(part.readableBytes(), MAX_REPORT_BYTES - report.size());
    for (int i = 0; i < length; i++) {
      report.write(part.getByte(part.readerIndex() + i));
    }
    if (content instanceof LastHttpContent || report.size() == MAX_REPORT_BYTES) {
      long startedAt = EndpointReport.startedAtMillis(report.toByteArray());
      boolean isOther =
          startedAt > 0
              && endpoint.startedAtMillis() > 0
              && startedAt != endpoint.startedAtMillis();
      finish(isOther ? ProbeResult.OTHER_INSTANCE : ProbeResult.RESPONDED);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    ended();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ended();
  }

  private void ended() {
    Channel open = channel;
    boolean isTunnelled = open != null && EndpointConnectionPool.peerOf(open) != null;
    if (hasHead) {
      finish(ProbeResult.RESPONDED);
    } else {
      // Through a peer, it may be the peer that has ended.
      finish(isTunnelled ? ProbeResult.UNREACHED : ProbeResult.CLOSED);
    }
  }
}
