package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.samphiredyke.core.path.EndpointPaths;
import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.frontend.FrontendServer;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.tunnel.TunnelClient;
import io.samphiredyke.gateway.tunnel.TunnelRefusal;
import io.samphiredyke.gateway.tunnel.TunnelServer;
import io.samphiredyke.gateway.upstream.EndpointConnectionPool;
import io.samphiredyke.gateway.upstream.EndpointTarget;
import io.samphiredyke.gateway.upstream.ExchangeFailure;
import io.samphiredyke.gateway.upstream.ExchangeListener;
import io.samphiredyke.gateway.upstream.OutgoingRequest;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpServer;
import io.samphiredyke.net.http.HttpServerOptions;
import io.samphiredyke.net.peer.PeerIdentity;
import io.samphiredyke.net.peer.PeerKey;
import io.samphiredyke.net.peer.PeerKeys;
import io.samphiredyke.net.peer.PeerOptions;
import io.samphiredyke.net.peer.PeerTransport;
import io.samphiredyke.platform.EndpointResponseHead;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.schema.message.ReadRegister;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketOption;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;

/** Reads back the options of the sockets of each kind of connection. */
@EnabledOnOs(OS.LINUX)
@Timeout(60)
class SocketOptionsTest {

  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final String PROBED = "probes after 1 s, every 1 s, 3 times";
  private static final String UNPROBED = "no probes";

  private final BlockingQueue<SocketChannel> sockets = new LinkedBlockingQueue<>();
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, recordingFactory());
  private final EventLoop loop = group.next();
  private ServerSocket listener;

  @BeforeEach
  void listen() throws IOException {
    listener = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
  }

  @AfterEach
  void stop() throws IOException {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    listener.close();
  }

  private IoHandlerFactory recordingFactory() {
    IoHandlerFactory nio = NioIoHandler.newFactory();
    return executor -> new RecordingHandler(nio.newHandler(executor));
  }

  /** Records the sockets of the connections that are registered with an event loop. */
  private final class RecordingHandler implements IoHandler {

    private final IoHandler nio;

    RecordingHandler(IoHandler nio) {
      this.nio = nio;
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
      if (((NioIoHandle) handle).selectableChannel() instanceof SocketChannel socket) {
        sockets.add(socket);
      }
      return nio.register(handle);
    }

    @Override
    public void initialize() {
      nio.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
      return nio.run(context);
    }

    @Override
    public void prepareToDestroy() {
      nio.prepareToDestroy();
    }

    @Override
    public void destroy() {
      nio.destroy();
    }

    @Override
    public void wakeup() {
      nio.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
      return nio.isCompatible(handleType);
    }
  }

  /** Returns the options of the next connection. */
  private String next() throws Exception {
    SocketChannel socket = sockets.poll(10, TimeUnit.SECONDS);
    assertThat(socket.getOption(StandardSocketOptions.TCP_NODELAY)).isTrue();
    // Nothing can set it as long as Java does not know it.
    assertThat(socket.supportedOptions().stream().map(SocketOption::name))
        .doesNotContain("TCP_USER_TIMEOUT");
    if (!socket.getOption(StandardSocketOptions.SO_KEEPALIVE)) {
      return UNPROBED;
    }
    return "probes after "
        + socket.getOption(ExtendedSocketOptions.TCP_KEEPIDLE)
        + " s, every "
        + socket.getOption(ExtendedSocketOptions.TCP_KEEPINTERVAL)
        + " s, "
        + socket.getOption(ExtendedSocketOptions.TCP_KEEPCOUNT)
        + " times";
  }

  private String opened(Consumer<InetSocketAddress> opener) throws Exception {
    opener.accept((InetSocketAddress) listener.getLocalSocketAddress());
    return next();
  }

  private String accepted(InetSocketAddress server) throws Exception {
    try (Socket socket = new Socket(server.getAddress(), server.getPort())) {
      assertThat(socket.isConnected()).isTrue();
      return next();
    }
  }

  /** The client of the store, of the daemon, of the client library and of the tools. */
  @Test
  void connectionsOfHttpClients() throws Exception {
    HttpClient client = new HttpClient(group, StoreClient.httpOptions());
    String options = opened(to -> client.send(HttpRequest.get(to, "/").build()));
    assertThat(options).isEqualTo(PROBED);
  }

  @Test
  void connectionsOfHttpServers() throws Exception {
    HttpServer server =
        HttpServer.start(group, ANY_PORT, HttpServerOptions.defaults(), exchange -> {}).join();
    assertThat(accepted(server.address())).isEqualTo(UNPROBED);
  }

  @Test
  void connectionsOfCallersToTheGateway() throws Exception {
    DecisionLog log = new DecisionLog(new ByteArrayOutputStream(), () -> 0);
    FrontendServer server =
        new FrontendServer(
            loop,
            request -> {
              throw new IllegalStateException("no request is sent");
            },
            CallerLimits::defaults,
            new ClientLimits(0, log).memory(),
            100,
            log);
    InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
    listener.close();
    server.start(address).join();
    assertThat(accepted(address)).isEqualTo(UNPROBED);
  }

  @Test
  void connectionsToEndpoints() throws Exception {
    EndpointConnectionPool pool = new EndpointConnectionPool(loop);
    OutgoingRequest request =
        new OutgoingRequest(
            "r", HttpMethod.GET, "/", new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    String options =
        opened(
            to ->
                loop.execute(
                    () -> pool.open(new EndpointTarget("e", text(to)), request, ignored())));
    assertThat(options).isEqualTo(PROBED);
  }

  private static String text(InetSocketAddress address) {
    return "127.0.0.1:" + address.getPort();
  }

  private static ExchangeListener ignored() {
    return new ExchangeListener() {
      @Override
      public void onHead(EndpointResponseHead head, HttpResponse response) {}

      @Override
      public void onContent(ByteBuf content) {}

      @Override
      public void onEnd() {}

      @Override
      public void onFailure(ExchangeFailure failure) {}
    };
  }

  @Test
  void bothConnectionsOfTunnels() throws Exception {
    String endpoint = text((InetSocketAddress) listener.getLocalSocketAddress());
    TunnelServer server =
        new TunnelServer(
            loop,
            id -> new EndpointRecord(id, "s", endpoint, "a", 4, false, 0, 1, 1),
            new EndpointPaths(new SplittableRandom(1)),
            SocketAddresses::parse,
            List::of,
            (event, fields) -> {});
    InetSocketAddress address = (InetSocketAddress) server.start(ANY_PORT).join();
    TunnelClient.Listener listener =
        new TunnelClient.Listener() {
          @Override
          public void opened(Channel channel) {}

          @Override
          public void refused(TunnelRefusal refusal) {}
        };
    loop.execute(
        () ->
            new TunnelClient(loop, "127.0.0.1:1")
                .open(text(address), endpoint, "e", "r", listener));
    assertThat(List.of(next(), next(), next())).containsOnly(PROBED);
  }

  @Test
  void linksBetweenDaemons() throws Exception {
    PeerTransport transport =
        PeerTransport.start(
                group,
                ANY_PORT,
                new PeerIdentity("a", "a-1", "127.0.0.1:1", "dc"),
                new PeerKeys(List.of(PeerKey.parse("k:00112233"))),
                PeerOptions.defaults(),
                (from, message, reply) -> {})
            .join();
    assertThat(accepted(transport.address())).isEqualTo(UNPROBED);
    ReadRegister message = ReadRegister.builder().requestId("r").build();
    assertThat(opened(to -> transport.send(to, null, message))).isEqualTo(UNPROBED);
  }
}
