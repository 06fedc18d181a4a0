package io.samphiredyke.gateway.tunnel;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.core.path.EndpointPaths;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.net.control.SocketAddresses;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A server of tunnels to an endpoint, over loopback between blocking sockets. */
abstract class TunnelServerFixture {

  static final String OPENED = "HTTP/1.1 200 tunnel opened\r\n\r\n";
  static final String SELF = "127.0.0.1:1";

  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  final EventLoop loop = group.next();
  final EndpointPaths paths = new EndpointPaths(new SplittableRandom(1));
  final Queue<String> events = new ConcurrentLinkedQueue<>();
  volatile List<String> live = List.of(SELF);
  ServerSocket endpoint;
  String endpointAddress;
  TunnelServer server;
  InetSocketAddress serverAddress;

  @BeforeEach
  void start() throws IOException {
    endpoint = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    endpointAddress = "127.0.0.1:" + endpoint.getLocalPort();
    server =
        new TunnelServer(
            loop,
            id -> id.equals("e 1") ? record(endpointAddress) : null,
            paths,
            SocketAddresses::parse,
            () -> live,
            (event, fields) -> events.add(event));
    serverAddress = (InetSocketAddress) server.start(SocketAddresses.parse("127.0.0.1:0")).join();
  }

  static EndpointRecord record(String address) {
    return new EndpointRecord("e 1", "s", address, "a", 4, false, 0, 1, 1);
  }

  @AfterEach
  void stop() throws IOException {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    endpoint.close();
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

  Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(16 * 1024);
    socket.setSoTimeout(20_000);
    socket.connect(serverAddress);
    return socket;
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  static String readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    InputStream in = socket.getInputStream();
    int next = in.read();
    while (next >= 0) {
      head.append((char) next);
      if (head.toString().endsWith("\r\n\r\n")) {
        return head.toString();
      }
      next = in.read();
    }
    return head.toString();
  }

  String request(Socket socket, String address, String endpointId) throws IOException {
    write(socket, new TunnelRequest(address, endpointId, "r-1", SELF, false).encode());
    return readHead(socket);
  }

  String request(Socket socket) throws IOException {
    return request(socket, endpointAddress, "e 1");
  }
}
