package io.samphiredyke.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.net.SocketOption;
import java.time.Duration;
import java.util.Map;
import jdk.net.ExtendedSocketOptions;

/**
 * Socket options of a kind of connection, which decide when the operating system ends it.
 *
 * <p>{@code TCP_USER_TIMEOUT} is never set, since it would replace the number of keep-alive probes.
 * Keep-alive probes are not sent while sent data is unacknowledged, so that the user of a
 * connection needs a timeout of its own for a response.
 */
public enum TcpProfile {
  /** Keep-alive probes end the connection within seconds after its other end is unreachable. */
  PROBED(
      Map.of(
          ExtendedSocketOptions.TCP_KEEPIDLE, TcpProfile.PROBE_INTERVAL_SECONDS,
          ExtendedSocketOptions.TCP_KEEPINTERVAL, TcpProfile.PROBE_INTERVAL_SECONDS,
          ExtendedSocketOptions.TCP_KEEPCOUNT, TcpProfile.MAX_PROBES)),

  /**
   * The connection outlasts an interruption of the network. Only the timeouts of its user end it.
   */
  UNPROBED(Map.of());

  /** Idle time before the first probe, and the interval between probes. */
  private static final int PROBE_INTERVAL_SECONDS = 1;

  /** Number of unacknowledged probes after which the connection is reset. */
  private static final int MAX_PROBES = 3;

  private final Map<SocketOption<Integer>, Integer> probes;

  TcpProfile(Map<SocketOption<Integer>, Integer> probes) {
    this.probes = probes;
  }

  /** Sets the options of the connections that a client bootstrap opens. */
  public Bootstrap opened(Bootstrap bootstrap, Duration connectTimeout) {
    bootstrap
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
        .option(ChannelOption.SO_KEEPALIVE, this == PROBED);
    probes.forEach((option, value) -> bootstrap.option(NioChannelOption.of(option), value));
    return bootstrap;
  }

  /** Sets the options of the connections that a server bootstrap accepts. */
  public ServerBootstrap accepted(ServerBootstrap bootstrap) {
    bootstrap
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.SO_KEEPALIVE, this == PROBED);
    probes.forEach((option, value) -> bootstrap.childOption(NioChannelOption.of(option), value));
    return bootstrap;
  }
}
