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

/** A host with an endpoint, a peer that reaches it, and requests on the host's connections. */
abstract class LostPathFixture {

  static final int TIME_LEFT_MILLIS = 8_000;

  /** Time after which a peer is asked beside a connection that is not open yet. */
  static final int HEDGE_MILLIS = 100;

  static final String RESPONSE_START = "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: ";
  static final String RESPONSE_END = "\r\nContent-Length: 3\r\n\r\nown";

  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  final EventLoop loop = group.next();
  final Queue<String> events = new ConcurrentLinkedQueue<>();
  final AtomicInteger requests = new AtomicInteger();
  final List<Closeable> backlog = new ArrayList<>();
  RawServer endpoint;
  volatile boolean isEndpointSilent;
  volatile RawServer.Script script =
      (id, socket) -> RawServer.write(socket, RESPONSE_START + id + RESPONSE_END);
  volatile InetSocketAddress directAddress;
  volatile InetSocketAddress peerSideAddress;
  volatile List<String> peers;
  String tunnelServer;
  EndpointPaths peerPaths;
  TunnelServer tunnels;
  HostPaths paths;
  EndpointConnectionPool pool;
  volatile EndpointExchange lastExchange;

  @BeforeEach
  void start() throws IOException {
    endpoint =
        RawServer.start(
            (id, socket) -> {
              if (!isEndpointSilent) {
                script.respond(id, socket);
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
    tunnelServer = "127.0.0.1:" + bound.getPort();
    peers = List.of(tunnelServer);
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

  static InetSocketAddress refusingAddress() throws IOException {
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return new InetSocketAddress("127.0.0.1", closed.getLocalPort());
    }
  }

  /** Returns an address to which connections hang, that of a server that accepts none. */
  InetSocketAddress hangingAddress() throws IOException {
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

  static String text(InetSocketAddress address) {
    return "127.0.0.1:" + address.getPort();
  }

  <T> T onLoop(Callable<T> action) {
    try {
      return loop.submit(action).get();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 500 && !condition.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  boolean isLost() {
    return onLoop(() -> paths.isLost(endpoint.address()));
  }

  /** Sends a request; the result is the response body or the failure. */
  CompletableFuture<Object> send() {
    return send("r-" + requests.incrementAndGet());
  }

  CompletableFuture<Object> send(String id) {
    CompletableFuture<Object> outcome = new CompletableFuture<>();
    ExchangeListener listener =
        new ExchangeListener() {
          final StringBuilder body = new StringBuilder();

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

  Object exchange() {
    return send().completeOnTimeout("no outcome", 5, TimeUnit.SECONDS).join();
  }
}
