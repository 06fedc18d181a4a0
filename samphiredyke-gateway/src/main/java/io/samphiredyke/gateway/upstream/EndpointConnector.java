package io.samphiredyke.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.samphiredyke.net.http.TcpProfile;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Opens the connections of a pool and probes the direct paths that are lost or may be. */
final class EndpointConnector implements ConnectionAttempt.Connector {

  /** Connect timeout; within a region, connecting takes a few milliseconds. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  private final EventLoop loop;
  private final AddressResolver resolver;
  private final HostPaths paths;
  private final SilenceMonitor silence;
  private final EndpointConnectionPool pool;
  private long openedConnections;

  EndpointConnector(
      EventLoop loop,
      AddressResolver resolver,
      HostPaths paths,
      SilenceMonitor silence,
      EndpointConnectionPool pool) {
    this.loop = loop;
    this.resolver = resolver;
    this.paths = paths;
    this.silence = silence;
    this.pool = pool;
  }

  /** Opens a connection for a request. */
  void connect(EndpointTarget target, String requestId, ConnectionAttempt.Listener listener) {
    openedConnections++;
    new ConnectionAttempt(loop, paths, this, target, requestId, listener).start();
  }

  private Bootstrap bootstrap(String address) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            // A failed write leaves what has arrived to be read.
            .option(ChannelOption.AUTO_CLOSE, false)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    pool.initialize(channel, address);
                  }
                });
    return TcpProfile.PROBED.opened(bootstrap, CONNECT_TIMEOUT);
  }

  @Override
  public ChannelFuture connectDirectly(EndpointTarget target) {
    String address = target.address();
    return bootstrap(address).connect(resolver.resolve(address));
  }

  @Override
  public void prepareTunnel(Channel channel, EndpointTarget target, String peer) {
    pool.initializeTunnel(channel, target.address(), peer);
  }

  @Override
  public void directConnected(EndpointTarget target) {
    if (paths.directConnected(target.address())) {
      pool.closeIdle(target.address(), false);
    }
  }

  @Override
  public void directHangs(EndpointTarget target) {
    pool.closeIdle(target.address(), true);
  }

  /** Probes the lost paths that are due. */
  void probeLostPaths() {
    for (String address : paths.endpoints().beginDueProbes(loop.ticker().nanoTime())) {
      EndpointTarget target = new EndpointTarget("", address);
      ChannelFuture connecting = connectDirectly(target);
      connecting.addListener(
          done -> {
            probeEnded(address);
            if (done.isSuccess()) {
              directConnected(target);
              pool.release(connecting.channel(), -1);
            }
          });
    }
  }

  private void probeEnded(String address) {
    paths.endpoints().probeEnded(address, loop.ticker().nanoTime());
  }

  /** Probes the path of a request if nothing is received from the endpoint for some time. */
  void watch(EndpointExchange exchange, EndpointTarget target) {
    long sentAt = loop.ticker().nanoTime();
    loop.schedule(
        () -> checkSilence(exchange, target, sentAt),
        SilenceMonitor.SUSPICIOUS_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void checkSilence(EndpointExchange exchange, EndpointTarget target, long sentAt) {
    String address = target.address();
    if (exchange.isWanted()
        && silence.isSilentSince(address, sentAt)
        && !paths.isLost(address)
        && paths.endpoints().beginProbe(address, loop.ticker().nanoTime())) {
      connect(target, "", new SuspicionProbe(address));
    }
  }

  /** Returns the number of connections opened so far. */
  long openedConnections() {
    return openedConnections;
  }

  /** Keeps the connection that a probe has opened for the next request. */
  private final class SuspicionProbe implements ConnectionAttempt.Listener {

    private final String address;

    SuspicionProbe(String address) {
      this.address = address;
    }

    @Override
    public boolean isWanted() {
      return true;
    }

    @Override
    public void connected(Channel channel) {
      probeEnded(address);
      pool.release(channel, -1);
    }

    @Override
    public void failed(ConnectFailure failure) {
      probeEnded(address);
    }
  }
}
