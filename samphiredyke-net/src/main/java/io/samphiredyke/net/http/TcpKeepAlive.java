package io.samphiredyke.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Configures TCP keep-alive, which detects connections whose other end is unreachable. */
public final class TcpKeepAlive {

  /** Idle time before the first probe, and the interval between probes. */
  private static final int INTERVAL_SECONDS = 1;

  /** Number of unacknowledged probes after which the connection is reset. */
  private static final int MAX_PROBES = 3;

  private TcpKeepAlive() {}

  /** Enables keep-alive on a client bootstrap. */
  public static Bootstrap enable(Bootstrap bootstrap) {
    return bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_PROBES);
  }

  /** Enables keep-alive on the connections that a server bootstrap accepts. */
  public static ServerBootstrap enable(ServerBootstrap bootstrap) {
    return bootstrap
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), INTERVAL_SECONDS)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_PROBES);
  }
}
