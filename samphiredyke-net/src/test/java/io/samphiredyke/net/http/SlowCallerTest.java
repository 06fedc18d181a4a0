package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Verifies that the server closes the connections of callers that send or read too slowly. */
class SlowCallerTest {

  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final int READ_TIMEOUT_MILLIS = 20_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private HttpServer serve(Duration idleTimeout, HttpHandler handler) {
    HttpServerOptions options =
        HttpServerOptions.defaults()
            .withRequestTimeout(Duration.ofMillis(300))
            .withIdleTimeout(idleTimeout);
    return HttpServer.start(group, ANY_PORT, options, handler).join();
  }

  @Test
  void closesConnectionsThatSendTheHeadByteByByte() throws IOException, InterruptedException {
    HttpServer server =
        serve(Duration.ofMinutes(1), exchange -> exchange.respond(200, Map.of(), new byte[0]));
    try (Socket socket = connect(server)) {
      CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> readAll(socket));
      byte[] head = ("GET / HTTP/1.1\r\nx: " + "y".repeat(10_000)).getBytes(StandardCharsets.UTF_8);
      int sent = 0;
      while (!response.isDone() && sent < head.length && isWritten(socket, head[sent])) {
        sent++;
        TimeUnit.MILLISECONDS.sleep(20);
      }
      assertThat(response.join()).startsWith("HTTP/1.1 408");
    }
  }

  @Test
  void closesConnectionsThatDoNotReadTheResponse() throws IOException {
    CompletableFuture<Void> disconnected = new CompletableFuture<>();
    HttpServer server =
        serve(
            Duration.ofMillis(500),
            exchange -> {
              exchange.disconnected().thenRun(() -> disconnected.complete(null));
              ResponseStream stream = exchange.startStream(200, Map.of());
              stream.write(new byte[64 * 1024 * 1024]);
            });
    try (Socket socket = connect(server)) {
      socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      disconnected.orTimeout(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
    }
    assertThat(disconnected).isCompleted();
  }

  private static Socket connect(HttpServer server) throws IOException {
    Socket socket = new Socket(server.address().getAddress(), server.address().getPort());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    return socket;
  }

  /** Writes a byte; returns whether the server still accepts it. */
  private static boolean isWritten(Socket socket, byte next) {
    try {
      socket.getOutputStream().write(next);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private static String readAll(Socket socket) {
    try {
      InputStream in = socket.getInputStream();
      return new String(in.readNBytes(32), StandardCharsets.UTF_8);
    } catch (IOException e) {
      return e.toString();
    }
  }
}
