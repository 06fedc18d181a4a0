package io.samphiredyke.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection if the head of a request is not complete within a timeout after its first
 * byte.
 *
 * <p>An idle timeout alone would allow a caller to keep a connection open by sending single bytes
 * (slowloris).
 */
final class RequestHeadTimeoutHandler extends ChannelInboundHandlerAdapter {

  private final ServerConnection connection;
  private final Duration timeout;
  private @Nullable Future<?> timer;
  private long requestsBeforeHead;

  RequestHeadTimeoutHandler(ServerConnection connection, Duration timeout) {
    this.connection = connection;
    this.timeout = timeout;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    boolean startsHead = timer == null && connection.isBetweenRequests();
    if (startsHead) {
      requestsBeforeHead = connection.requestCount();
      timer =
          ctx.executor()
              .schedule(
                  () -> connection.onHeadTimeout(), timeout.toMillis(), TimeUnit.MILLISECONDS);
    }
    ctx.fireChannelRead(message);
    if (connection.requestCount() != requestsBeforeHead) {
      cancel();
    }
  }

  private void cancel() {
    Future<?> running = timer;
    if (running != null) {
      running.cancel(false);
      timer = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancel();
    ctx.fireChannelInactive();
  }
}
