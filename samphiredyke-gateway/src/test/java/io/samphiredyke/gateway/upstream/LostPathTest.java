package io.samphiredyke.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.samphiredyke.core.path.EndpointPaths;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.tunnel.TunnelClient;
import io.samphiredyke.gateway.tunnel.TunnelServer;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.platform.EndpointResponseHead;
import io.samphiredyke.platform.standin.RawServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Exchanges of a host whose direct path to an endpoint is lost, with one peer that reaches it. */
@Timeout(60)
class LostPathTest {

  private static final int TIME_LEFT_MILLIS = 8_000;

  /** Time after which a peer is asked beside a connection that is not open yet. */
  private static final int HEDGE_MILLIS = 100;

  private static final String RESPONSE_START = "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: ";
  private static final String RESPONSE_END = "\r\nContent-Length: 3\r\n\r\nown";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Queue<String> events = new ConcurrentLinkedQueue<>();
  private final AtomicInteger requests = new AtomicInteger();
  private final List<Closeable> backlog = new ArrayList<>();
  private RawServer endpoint;
  private volatile boolean isEndpointSilent;
  private volatile InetSocketAddress directAddress;
  private volatile InetSocketAddress peerSideAddress;
  private volatile List<String> peers;
  private EndpointPaths peerPaths;
  private TunnelServer tunnels;
  private HostPaths paths;
  private EndpointConnectionPool pool;
  private volatile EndpointExchange lastExchange;

  @BeforeEach
  void start() throws IOException {
    endpoint =
        RawServer.start(
            (id, socket) -> {
              if (!isEndpointSilent) {
                RawServer.write(socket, RESPONSE_START + id + RESPONSE_END);
              }
            });
    directAddress = SocketAddresses.parse(endpoint.address());
    peerSideAddress = directAddress;
    peerPaths = new EndpointPaths(new SplittableRandom(1));
    EndpointRecord record =
        new EndpointRecord("e", "s", endpoint.address(), "a", 4, false, 0, 1, 1);
    tunnels =
        new TunnelServer(
            loop,
            id -> id.equals("e") ? record : null,
            peerPaths,
            address -> peerSideAddress,
            List::of,
            (event, fields) -> events.add("peer_" + event));
    InetSocketAddress bound =
        (InetSocketAddress) tunnels.start(SocketAddresses.parse("127.0.0.1:0")).join();
    peers = List.of("127.0.0.1:" + bound.getPort());
    paths =
        new HostPaths(
            loop,
            new TunnelClient(loop, "127.0.0.1:1"),
            () -> peers,
            new SplittableRandom(1),
            (event, fields) -> events.add(event));
    pool = new EndpointConnectionPool(loop, address -> directAddress, paths);
  }

  @AfterEach
  void stop() throws IOException {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    for (Closeable socket : backlog) {
      socket.close();
    }
  }

  private static InetSocketAddress refusingAddress() throws IOException {
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return new InetSocketAddress("127.0.0.1", closed.getLocalPort());
    }
  }

  /** Returns an address to which connections hang, that of a server that accepts none. */
  private InetSocketAddress hangingAddress() throws IOException {
    ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    backlog.add(full);
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", full.getLocalPort());
    while (true) {
      Socket socket = new Socket();
      backlog.add(socket);
      try {
        socket.connect(address, 200);
      } catch (SocketTimeoutException e) {
        return address;
      }
    }
  }

  private static String text(InetSocketAddress address) {
    return "127.0.0.1:" + address.getPort();
  }

  private <T> T onLoop(Callable<T> action) {
    try {
      return loop.submit(action).get();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 500 && !condition.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  private boolean isLost() {
    return onLoop(() -> paths.isLost(endpoint.address()));
  }

  /** Sends a request; the result is the response body or the failure. */
  private CompletableFuture<Object> send() {
    CompletableFuture<Object> outcome = new CompletableFuture<>();
    String id = "r-" + requests.incrementAndGet();
    ExchangeListener listener =
        new ExchangeListener() {
          private final StringBuilder body = new StringBuilder();

          @Override
          public void onHead(EndpointResponseHead head, HttpResponse response) {}

          @Override
          public void onContent(ByteBuf content) {
            body.append(content.toString(StandardCharsets.US_ASCII));
          }

          @Override
          public void onEnd() {
            loop.execute(() -> outcome.complete(body.toString()));
          }

          @Override
          public void onFailure(ExchangeFailure failure) {
            outcome.complete(failure);
          }
        };
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set("X-Samphiredyke-Request-Id", id)
            .set("X-Samphiredyke-Deadline-Ms", TIME_LEFT_MILLIS);
    OutgoingRequest request =
        new OutgoingRequest(id, HttpMethod.GET, "/x", headers, Unpooled.EMPTY_BUFFER);
    EndpointTarget target = new EndpointTarget("e", endpoint.address());
    loop.execute(() -> lastExchange = pool.open(target, request, listener));
    return outcome;
  }

  private Object exchange() {
    return send().completeOnTimeout("no outcome", 5, TimeUnit.SECONDS).join();
  }

  @Test
  void directPathIsUsedWhereItWorks() {
    assertThat(exchange()).isEqualTo("own");
    assertThat(events).isEmpty();
  }

  @Test
  void refusedPathIsReplacedByPeer() throws IOException {
    directAddress = refusingAddress();
    assertThat(exchange()).isEqualTo("own");
    assertThat(isLost()).isTrue();
    assertThat(exchange()).isEqualTo("own");
    assertThat(paths.tunnelledConnections()).isEqualTo(1);
    assertThat(events)
        .containsExactly(
            "peer_tunnel_opened", "tunnel_opened", "path_lost", "sent_through", "sent_through");
  }

  @Test
  void hungPathIsReplacedByPeer() throws Exception {
    directAddress = hangingAddress();
    assertThat(exchange()).isEqualTo("own");
    await(this::isLost);
    assertThat(events)
        .as("the peer is used before the connection counts as hung")
        .containsSubsequence("tunnel_opened", "sent_through", "path_lost");
    assertThat(endpoint.timeLeftMillis())
        .as("without the time until the connection was open")
        .isBetween(1L, (long) TIME_LEFT_MILLIS - HEDGE_MILLIS);
  }

  /** Guards against a failover that waits for one peer after the other. */
  @Test
  void endpointThatHangsForAllHostsIsGivenUpInTime() throws Exception {
    directAddress = hangingAddress();
    peers = List.of(text(hangingAddress()), text(hangingAddress()), text(hangingAddress()));
    assertThat(exchange())
        .isInstanceOfSatisfying(
            ExchangeFailure.class,
            failure -> {
              assertThat(failure.isUnsent()).isTrue();
              assertThat(failure.reason()).isEqualTo("no connection within 500 ms");
            });
  }

  /** Sends two requests at once, of which one needs a new connection, and waits for the loss. */
  private void losePathWithIdleConnection() throws InterruptedException {
    CompletableFuture<Object> first = send();
    CompletableFuture<Object> second = send();
    assertThat(first.join()).isEqualTo("own");
    assertThat(second.join()).isEqualTo("own");
    await(this::isLost);
    assertThat(paths.tunnelledConnections()).isEqualTo(1);
  }

  private void sendTwice() {
    CompletableFuture<Object> first = send();
    CompletableFuture<Object> second = send();
    assertThat(first.join()).isEqualTo("own");
    assertThat(second.join()).isEqualTo("own");
  }

  @Test
  void idleDirectConnectionsOutliveRefusedOnes() throws Exception {
    assertThat(exchange()).isEqualTo("own");
    directAddress = refusingAddress();
    losePathWithIdleConnection();
    sendTwice();
    assertThat(paths.tunnelledConnections()).isEqualTo(1);
  }

  @Test
  void idleDirectConnectionsAreClosedWhenNewOnesHang() throws Exception {
    assertThat(exchange()).isEqualTo("own");
    directAddress = hangingAddress();
    losePathWithIdleConnection();
    sendTwice();
    assertThat(paths.tunnelledConnections()).isEqualTo(2);
  }

  @Test
  void pathThatIsBackIsFoundByProbeAndReplacesTheTunnel() throws Exception {
    InetSocketAddress real = directAddress;
    directAddress = refusingAddress();
    assertThat(exchange()).isEqualTo("own");
    directAddress = real;
    assertThat(onLoop(tunnels::openTunnels)).isEqualTo(1);
    await(
        () -> {
          loop.execute(pool::checkPaths);
          return !isLost();
        });
    assertThat(events).endsWith("path_back");
    await(() -> onLoop(tunnels::openTunnels) == 0);
    assertThat(exchange()).isEqualTo("own");
    assertThat(events).endsWith("path_back");
    assertThat(paths.tunnelledConnections()).isEqualTo(1);
  }

  @Test
  void endpointThatNoHostReachesIsAtFault() throws IOException {
    directAddress = refusingAddress();
    peerSideAddress = directAddress;
    assertThat(exchange())
        .isInstanceOfSatisfying(
            ExchangeFailure.class,
            failure -> {
              assertThat(failure.isUnsent()).isTrue();
              assertThat(failure.isPathSuspect()).isFalse();
            });
    assertThat(isLost()).isFalse();
  }

  @Test
  void endpointThatSomeOtherHostReachesIsNotAtFault() throws IOException {
    directAddress = refusingAddress();
    onLoop(() -> peerPaths.confirmedLost(endpoint.address(), loop.ticker().nanoTime()));
    assertThat(exchange())
        .isInstanceOfSatisfying(
            ExchangeFailure.class,
            failure -> {
              assertThat(failure.isUnsent()).isTrue();
              assertThat(failure.isPathSuspect()).isTrue();
            });
  }

  @Test
  void hostWithoutPeersFailsAsTheEndpointDoes() throws IOException {
    directAddress = refusingAddress();
    peers = List.of();
    assertThat(exchange())
        .isInstanceOfSatisfying(
            ExchangeFailure.class,
            failure -> {
              assertThat(failure.isUnsent()).isTrue();
              assertThat(failure.isPathSuspect()).isFalse();
            });
  }

  @Test
  void requestOnSilentIdleConnectionLeadsToProbe() throws Exception {
    assertThat(exchange()).isEqualTo("own");
    isEndpointSilent = true;
    directAddress = hangingAddress();
    CompletableFuture<Object> silent = send();
    await(this::isLost);
    assertThat(silent).isNotDone();
    isEndpointSilent = false;
    assertThat(exchange()).isEqualTo("own");
    assertThat(events).contains("path_lost").endsWith("sent_through");
  }

  private void giveUpAfter(long millis) throws InterruptedException {
    isEndpointSilent = true;
    CompletableFuture<Object> silent = send();
    Thread.sleep(millis);
    loop.execute(() -> lastExchange.cancel());
    isEndpointSilent = false;
    assertThat(silent).isNotDone();
  }

  @Test
  void requestGivenUpSoonKeepsIdleConnections() throws Exception {
    sendTwice();
    giveUpAfter(50);
    assertThat(exchange()).isEqualTo("own");
    assertThat(endpoint.connections()).isEqualTo(2);
  }

  @Test
  void requestGivenUpAfterSilenceClosesIdleConnections() throws Exception {
    sendTwice();
    giveUpAfter(600);
    assertThat(endpoint.connections()).as("with that of the probe").isEqualTo(3);
    assertThat(exchange()).isEqualTo("own");
    assertThat(endpoint.connections()).isEqualTo(4);
    assertThat(isLost()).isFalse();
  }

  @Test
  void idleTunnelIsClosedWhenItsPeerLeaves() throws Exception {
    directAddress = refusingAddress();
    assertThat(exchange()).isEqualTo("own");
    peers = List.of();
    loop.execute(pool::checkPaths);
    await(() -> onLoop(tunnels::openTunnels) == 0);
  }
}
