package io.samphiredyke.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Makes connections notice that nothing reaches their other end any more. */
public final class TcpKeepAlive {

  /** Silence after which the first probe is sent, and the time between probes, seconds. */
  private static final int INTERVAL_SECONDS = 1;

  /** Probes without an answer after which the connection is reset. */
  private static final int COUNT = 3;

  private TcpKeepAlive() {}

  /** Sets the options on a client bootstrap. */
  public static Bootstrap enable(Bootstrap bootstrap) {
    return bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), COUNT);
  }
}
