package io.samphiredyke.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection whose request's head does not arrive in time after its first byte.
 *
 * <p>An idle timeout alone would let a caller hold a connection by one byte now and then.
 */
final class HeadDeadline extends ChannelInboundHandlerAdapter {

  private final ServerConnection connection;
  private final Duration timeout;
  private @Nullable Future<?> timer;
  private long awaited;

  HeadDeadline(ServerConnection connection, Duration timeout) {
    this.connection = connection;
    this.timeout = timeout;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    boolean startsHead = timer == null && connection.isBetweenRequests();
    if (startsHead) {
      awaited = connection.requests();
      timer =
          ctx.executor()
              .schedule(() -> connection.headTimedOut(), timeout.toMillis(), TimeUnit.MILLISECONDS);
    }
    ctx.fireChannelRead(message);
    if (connection.requests() != awaited) {
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
