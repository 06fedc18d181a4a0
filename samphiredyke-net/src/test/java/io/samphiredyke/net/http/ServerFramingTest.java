package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses of the server, which callers may require to state their end. */
@Timeout(30)
class ServerFramingTest {

  private static final HttpServerOptions OPTIONS = HttpServerOptions.defaults();

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpServer server =
      HttpServer.start(
              group, new InetSocketAddress("127.0.0.1", 0), OPTIONS, ServerFramingTest::serve)
          .join();

  @AfterEach
  void stop() {
    server.stop().join();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static void serve(HttpExchange exchange) {
    switch (exchange.path()) {
      case "/whole" -> exchange.respond(200, Map.of(), new byte[3]);
      case "/empty" -> exchange.respond(404, Map.of(), new byte[0]);
      case "/stream" -> {
        ResponseStream stream = exchange.startStream(200, Map.of());
        stream.write(new byte[3]);
        stream.end();
      }
      case "/body" -> exchange.body().whenComplete((body, failure) -> fail(exchange, failure));
      default -> throw new IllegalStateException("failed");
    }
  }

  private static void fail(HttpExchange exchange, Throwable failure) {
    int status = failure instanceof HttpException known ? known.status() : 200;
    exchange.respond(status, Map.of(), new byte[1]);
  }

  /** Guards against a response that a caller can't tell from one that is cut off. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /whole HTTP/1.1|Host: a||",
        "GET /whole HTTP/1.1|Host: a|Connection: close||",
        "GET /whole HTTP/1.0||",
        "HEAD /whole HTTP/1.1|Host: a||",
        "HEAD /whole HTTP/1.0||",
        "GET /empty HTTP/1.1|Host: a||",
        "GET /empty HTTP/1.0||",
        "GET /stream HTTP/1.1|Host: a||",
        "GET /stream HTTP/1.0||",
        "HEAD /stream HTTP/1.1|Host: a||",
        "GET /throws HTTP/1.1|Host: a||",
        "GET /throws HTTP/1.0||",
        "GET /%zz HTTP/1.1|Host: a||",
        "POST /body HTTP/1.1|Host: a|Content-Length: 2000000000||",
        "POST /body HTTP/1.0|Content-Length: 2||ab",
        "POST /body HTTP/1.1|Host: a|Transfer-Encoding: chunked||zz|",
        "no request||"
      })
  void everyResponseStatesItsEnd(String request) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
      socket
          .getOutputStream()
          .write(request.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII));
      String head = readHead(socket);
      assertThat(head).startsWith("http/1.1 ");
      assertThat(head).containsAnyOf("content-length: ", "transfer-encoding: chunked");
    }
  }

  private static String readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int read = socket.getInputStream().read();
      assertThat(read).as("end of %s", head).isNotNegative();
      head.append((char) read);
    }
    return head.toString().toLowerCase(Locale.ROOT);
  }

  /** Guards against a response without length that is accepted where each has one. */
  @Test
  void framingIsRequiredOnDemandOnly() throws IOException {
    HttpClient client = new HttpClient(group, HttpClientOptions.defaults());
    try (RawResponse raw = RawResponse.start("HTTP/1.1 200 OK\r\n\r\nabc")) {
      HttpRequest.Builder request =
          HttpRequest.get(raw.address(), "/").timeout(Duration.ofSeconds(5));
      HttpResponse response = client.send(request.build()).join();
      assertThat(response.text()).isEqualTo("abc");
      assertThat(response.endsWithConnection()).isTrue();
      assertThat(client.send(request.requireFraming().build()))
          .failsWithin(Duration.ofSeconds(5))
          .withThrowableThat()
          .withCauseInstanceOf(ConnectionLostException.class)
          .withMessageContaining("without length");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"204 No Content", "304 Not Modified"})
  void responseWithoutBodyIsFramedByItsStatus(String status) throws IOException {
    HttpClient client = new HttpClient(group, HttpClientOptions.defaults());
    try (RawResponse raw = RawResponse.start("HTTP/1.1 " + status + "\r\n\r\n")) {
      HttpRequest request = HttpRequest.get(raw.address(), "/").requireFraming().build();
      assertThat(client.send(request).join().endsWithConnection()).isFalse();
    }
  }
}
