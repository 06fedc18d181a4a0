package io.samphiredyke.gateway.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Records when something was last received from each endpoint on a direct connection. */
final class SilenceMonitor {

  /** Time without a byte after which a connection may be silenced. */
  static final int SUSPICIOUS_MILLIS = 300;

  private static final class Source {
    private long receivedAt;
    private int connections;
  }

  private final EventLoop loop;
  private final Map<String, Source> sources = new HashMap<>();

  SilenceMonitor(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns a handler for a new direct connection to an address. */
  ChannelHandler handler(Channel channel, String address) {
    Source source = sources.computeIfAbsent(address, key -> new Source());
    source.connections++;
    channel.closeFuture().addListener(done -> closed(address, source));
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        source.receivedAt = loop.ticker().nanoTime();
        ctx.fireChannelRead(message);
      }
    };
  }

  private void closed(String address, Source source) {
    source.connections--;
    if (source.connections == 0) {
      sources.remove(address, source);
    }
  }

  /**
   * Returns whether a request has waited suspiciously long and nothing was received from its
   * endpoint since it was sent.
   */
  boolean isSilentSince(String address, long sentAt) {
    long waited = loop.ticker().nanoTime() - sentAt;
    Source source = sources.get(address);
    return waited >= TimeUnit.MILLISECONDS.toNanos(SUSPICIOUS_MILLIS)
        && (source == null || source.receivedAt - sentAt < 0);
  }
}
