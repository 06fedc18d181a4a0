package io.samphiredyke.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.samphiredyke.platform.EndpointResponseHead;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Exchanges with endpoints that send what no well-behaved one would. */
class EndpointExchangeTest {

  private static final String OWN =
      "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: r\r\nContent-Length: 3\r\n\r\nown";
  private static final String OTHERS =
      "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: q\r\nContent-Length: 5\r\n\r\nother";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final EndpointConnectionPool connections = new EndpointConnectionPool(loop);
  private final AtomicInteger accepted = new AtomicInteger();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** What an endpoint does with each request on a connection. */
  private interface Script {
    void answer(Socket socket) throws IOException;
  }

  private String serve(Script script) throws IOException {
    ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
    Thread acceptor =
        new Thread(
            () -> {
              while (true) {
                try {
                  Socket socket = server.accept();
                  accepted.incrementAndGet();
                  Thread connection = new Thread(() -> serve(socket, script));
                  connection.setDaemon(true);
                  connection.start();
                } catch (IOException e) {
                  return;
                }
              }
            });
    acceptor.setDaemon(true);
    acceptor.start();
    return "127.0.0.1:" + server.getLocalPort();
  }

  private static void serve(Socket socket, Script script) {
    try {
      while (readHead(socket.getInputStream())) {
        script.answer(socket);
      }
    } catch (IOException e) {
      // The other end closed the connection.
    }
  }

  private static boolean readHead(InputStream in) throws IOException {
    int matched = 0;
    while (matched < 4) {
      int next = in.read();
      if (next < 0) {
        return false;
      }
      matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
    }
    return true;
  }

  private static Script send(String text) {
    return socket -> {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
    };
  }

  /** Returns the body, or the reason of the failure behind an exclamation mark. */
  private String exchange(String address) {
    CompletableFuture<String> outcome = new CompletableFuture<>();
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
            outcome.complete("!" + failure.reason());
          }
        };
    OutgoingRequest request =
        new OutgoingRequest(
            "r", HttpMethod.GET, "/x", new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    loop.execute(() -> connections.open(address, request, true, listener));
    return outcome.join();
  }

  @Test
  void keepsAConnectionBetweenRequests() throws IOException {
    String address = serve(send(OWN));
    for (int i = 0; i < 5; i++) {
      assertThat(exchange(address)).isEqualTo("own");
    }
    assertThat(accepted).hasValue(1);
  }

  @Test
  void skipsTheAnswerOfAnotherRequest() throws IOException {
    String address = serve(send(OTHERS + OWN));
    assertThat(exchange(address)).isEqualTo("own");
  }

  @Test
  void givesSurplusBytesToNoRequest() throws IOException {
    String address = serve(send(OWN + OTHERS));
    assertThat(exchange(address)).isEqualTo("own");
    assertThat(exchange(address)).isEqualTo("own");
    assertThat(accepted).as("connections with surplus bytes are not kept").hasValue(2);
  }

  @Test
  void takesTheEndOfAConnectionAsTheEndOfAnAnswerWithoutLength() throws IOException {
    String address =
        serve(
            socket -> {
              send("HTTP/1.1 200 OK\r\n\r\nall").answer(socket);
              socket.close();
            });
    assertThat(exchange(address)).isEqualTo("all");
  }

  @Test
  void takesAResetAnswerWithoutLengthAsBrokenOff() throws IOException {
    String address =
        serve(
            socket -> {
              send("HTTP/1.1 200 OK\r\n\r\npart").answer(socket);
              socket.setSoLinger(true, 0);
              socket.close();
            });
    assertThat(exchange(address)).startsWith("!");
  }

  @Test
  void takesWhatIsNoHttpAsAFailure() throws IOException {
    assertThat(exchange(serve(send("nonsense\r\n\r\n")))).startsWith("!");
  }

  @Test
  void takesATruncatedAnswerAsAFailure() throws IOException {
    String address =
        serve(
            socket -> {
              send("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nshort").answer(socket);
              socket.close();
            });
    assertThat(exchange(address)).startsWith("!");
  }
}
