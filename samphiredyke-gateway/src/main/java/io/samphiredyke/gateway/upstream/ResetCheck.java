package io.samphiredyke.gateway.upstream;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Finds out whether an endpoint that has ended its connection had read the request.
 *
 * <p>If not, its operating system resets the connection when the rest of the request arrives. Of a
 * connection whose input has ended this is not reported, but nothing can be sent on it any more. So
 * the connection is kept half open, and a blank line is sent, which means nothing to a server after
 * a request.
 */
final class ResetCheck {

  /** Size of a request's body that the endpoint has received when it begins to respond. */
  private static final int RECEIVED_BYTES = 1_024;

  /** Size of a request's body that is sent before the endpoint has to take any of it. */
  private static final int FIRST_FLIGHT_BYTES = 14 * 1024;

  /** Time after which the operating system has probed a window that the endpoint left full. */
  private static final long WINDOW_PROBE_MILLIS = 250;

  private static final byte[] BLANK_LINE = {'\r', '\n'};

  private final Channel channel;
  private final int bodyBytes;

  private ResetCheck(Channel channel, int bodyBytes) {
    this.channel = channel;
    this.bodyBytes = bodyBytes;
  }

  /**
   * Lets a connection stay half open after its end, before it ends.
   *
   * @param bodyBytes size of the request's body
   * @return null if no check is needed, or none is possible as the connection is a tunnel
   */
  static @Nullable ResetCheck prepare(Channel channel, int bodyBytes) {
    if (bodyBytes <= RECEIVED_BYTES || EndpointConnectionPool.peerOf(channel) != null) {
      return null;
    }
    channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    return new ResetCheck(channel, bodyBytes);
  }

  /** Tells whether the connection has not been reset by the time when the window was probed. */
  void begin(Consumer<Boolean> listener) {
    // Only one line can be sent: a server that has closed the connection resets it then.
    long delay = bodyBytes <= FIRST_FLIGHT_BYTES ? 0 : WINDOW_PROBE_MILLIS;
    channel.eventLoop().schedule(() -> sendBlankLine(listener), delay, TimeUnit.MILLISECONDS);
  }

  private void sendBlankLine(Consumer<Boolean> listener) {
    channel
        .pipeline()
        .firstContext()
        .writeAndFlush(Unpooled.wrappedBuffer(BLANK_LINE))
        .addListener(done -> listener.accept(done.isSuccess()));
  }
}
