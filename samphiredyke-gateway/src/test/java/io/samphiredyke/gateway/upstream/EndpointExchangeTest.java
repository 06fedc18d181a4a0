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
import io.samphiredyke.platform.EndpointResponseHead;
import io.samphiredyke.platform.standin.RawServer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Exchanges with endpoints that send malformed, surplus or truncated data. */
class EndpointExchangeTest {

  private static final String OWN_RESPONSE =
      "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: r\r\nContent-Length: 3\r\n\r\nown";
  private static final String FAILED_RESPONSE =
      "HTTP/1.1 500 Internal Server Error\r\nX-Samphiredyke-Request-Id: r\r\n"
          + "Content-Length: 6\r\n\r\nfailed";
  private static final String OTHER_RESPONSE =
      "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: q\r\nContent-Length: 5\r\n\r\nother";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final EndpointConnectionPool pool = new EndpointConnectionPool(loop);
  private RawServer server;
  private int requestCount;

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private String serve(RawServer.Script script) throws IOException {
    server = RawServer.start(script);
    return server.address();
  }

  private static RawServer.Script send(String text) {
    return (id, socket) -> write(id, socket, text);
  }

  /** Writes a response to a request, whose id stands for "r" in the text. */
  private static void write(String id, Socket socket, String text) throws IOException {
    RawServer.write(
        socket,
        text.replaceAll("(Request-Id: +)r(?=\\s)", "$1" + id)
            .replaceAll("(Request-Id: +)R(?=\\s)", "$1" + id.toUpperCase(Locale.ROOT)));
  }

  /**
   * Returns the response body, after the status of a failure, or an exclamation mark followed by
   * the reason of the failure.
   */
  private String exchange(String address) {
    return exchange(address, HttpMethod.GET);
  }

  private String exchange(String address, HttpMethod method) {
    return exchange(address, method, "r-" + ++requestCount);
  }

  private String exchange(String address, HttpMethod method, String id) {
    CompletableFuture<String> outcome = new CompletableFuture<>();
    ExchangeListener listener =
        new ExchangeListener() {
          private final StringBuilder body = new StringBuilder();

          @Override
          public void onHead(EndpointResponseHead head, HttpResponse response) {
            body.append(head.isSuccess() ? "" : head.status() + " ");
          }

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
    HttpHeaders headers = new DefaultHttpHeaders().set("X-Samphiredyke-Request-Id", id);
    OutgoingRequest request = new OutgoingRequest(id, method, "/x", headers, Unpooled.EMPTY_BUFFER);
    loop.execute(() -> pool.open(new EndpointTarget("", address), request, listener));
    return outcome.completeOnTimeout("!no outcome", 5, TimeUnit.SECONDS).join();
  }

  @Test
  void reusesAConnectionForLaterRequests() throws IOException {
    String address = serve(send(OWN_RESPONSE));
    for (int i = 0; i < 5; i++) {
      assertThat(exchange(address)).isEqualTo("own");
    }
    assertThat(server.connections()).isEqualTo(1);
  }

  /** Guards against a copy of an earlier response that is taken for that to the same id. */
  @Test
  void connectionCarriesEachIdOnce() throws IOException {
    String address = serve(send(OWN_RESPONSE));
    for (String id : List.of("a", "b", "a", "b", "c")) {
      assertThat(exchange(address, HttpMethod.GET, id)).isEqualTo("own");
    }
    assertThat(server.connections()).isEqualTo(2);
  }

  @Test
  void connectionIsNotReusedWithoutEnd() throws IOException {
    String address = serve(send(OWN_RESPONSE));
    for (int i = 0; i <= CarriedIds.MAX_REQUESTS; i++) {
      assertThat(exchange(address)).isEqualTo("own");
    }
    assertThat(server.connections()).isEqualTo(2);
  }

  @Test
  void skipsTheResponseToAnotherRequest() throws IOException {
    String address = serve(send(OTHER_RESPONSE + OWN_RESPONSE));
    assertThat(exchange(address)).isEqualTo("own");
  }

  @Test
  void discardsBytesAfterACompleteResponse() throws IOException {
    String address = serve(send(OWN_RESPONSE + OTHER_RESPONSE));
    assertThat(exchange(address)).isEqualTo("own");
    assertThat(exchange(address)).isEqualTo("own");
    assertThat(server.connections())
        .as("connections with surplus bytes are not reused")
        .isEqualTo(2);
  }

  /** Sends the texts one after the other, each in response to one request of all connections. */
  private static RawServer.Script sendInTurn(String... texts) {
    AtomicInteger requests = new AtomicInteger();
    return (id, socket) -> write(id, socket, texts[requests.getAndIncrement()]);
  }

  /** Guards against the begin of a surplus head that becomes the status of the next response. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "H",
        "HTTP/1.1",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: q",
        "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: q\r\nContent-Length: 60\r\n\r\not"
      })
  void unfinishedSurplusHeadIsNotPartOfTheNextResponse(String surplus) throws IOException {
    String address = serve(sendInTurn(OWN_RESPONSE + surplus, FAILED_RESPONSE));
    assertThat(exchange(address)).isEqualTo("own");
    assertThat(exchange(address)).isEqualTo("500 failed");
    assertThat(server.connections()).isEqualTo(2);
  }

  /** Guards against surplus bytes that wait in the decoder of an idle connection. */
  @Test
  void bytesOnAnIdleConnectionCloseIt() throws IOException {
    CompletableFuture<Integer> end = new CompletableFuture<>();
    AtomicInteger requests = new AtomicInteger();
    CompletableFuture<Void> firstEnded = new CompletableFuture<>();
    String address =
        serve(
            (id, socket) -> {
              write(id, socket, requests.getAndIncrement() == 0 ? OWN_RESPONSE : FAILED_RESPONSE);
              if (requests.get() == 1) {
                firstEnded.join();
                RawServer.write(socket, "HTTP/1.1 200 OK");
                socket.setSoTimeout(5_000);
                end.complete(socket.getInputStream().read());
              }
            });
    assertThat(exchange(address)).isEqualTo("own");
    firstEnded.complete(null);
    assertThat(end.completeOnTimeout(0, 6, TimeUnit.SECONDS).join())
        .as("end of the connection")
        .isEqualTo(-1);
    assertThat(exchange(address)).isEqualTo("500 failed");
  }

  /** Guards against surplus bytes that arrive when the connection carries the next request. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nX-Samphiredyke-Server-Signature: a"
      })
  void surplusHeadBeforeTheResponseIsMalformed(String surplus) throws IOException {
    String address = serve(sendInTurn(OWN_RESPONSE, surplus + FAILED_RESPONSE));
    assertThat(exchange(address)).isEqualTo("own");
    assertThat(exchange(address)).isEqualTo("!the answer is not valid HTTP");
  }

  @Test
  void responseToHeadRequestHasNoBody() throws IOException {
    String address = serve(send(OWN_RESPONSE.replace("own", "")));
    assertThat(exchange(address, HttpMethod.HEAD)).isEmpty();
    assertThat(exchange(address, HttpMethod.HEAD)).isEmpty();
    assertThat(server.connections()).isEqualTo(1);
  }

  private static final String REFUSED_RESPONSE =
      "HTTP/1.1 503 Full\r\nX-Samphiredyke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

  /** Guards against the copy of a refusal without id that refuses the next request. */
  @Test
  void refusalWithoutIdEndsItsConnection() throws IOException {
    String address = serve(sendInTurn(REFUSED_RESPONSE, OWN_RESPONSE, REFUSED_RESPONSE));
    assertThat(exchange(address)).isEqualTo("503 ");
    assertThat(exchange(address)).isEqualTo("own");
    assertThat(server.connections()).isEqualTo(2);
    assertThat(exchange(address)).as("refusal on a reused connection").isEqualTo("503 ");
    assertThat(server.connections()).isEqualTo(2);
    assertThat(pool.responsesWithoutId()).isEqualTo(2);
  }

  /** Guards against a response that is taken for that to the request without stating its id. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown",
        "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: \r\nContent-Length: 3\r\n\r\nown",
        "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
        OTHER_RESPONSE + REFUSED_RESPONSE
      })
  void responseWithoutIdIsNotPassedOn(String response) throws IOException {
    assertThat(exchange(serve(send(response)))).isEqualTo("!the answer states no id");
  }

  @ParameterizedTest
  @ValueSource(strings = {"r", "q"})
  void responseWithSeveralIdsIsNotPassedOn(String second) throws IOException {
    String ids = "r\r\nX-Samphiredyke-Request-Id: " + second + "\r\n";
    assertThat(exchange(serve(send(OWN_RESPONSE.replace("r\r\n", ids)))))
        .isEqualTo("!the answer states several ids");
  }

  @Test
  void idInAnotherCaseIsAnotherId() throws IOException {
    String address = serve(send(OWN_RESPONSE.replace(": r", ": R") + FAILED_RESPONSE));
    assertThat(exchange(address)).isEqualTo("500 failed");
  }

  @Test
  void blanksAroundTheIdAreNotPartOfIt() throws IOException {
    String address = serve(send(OWN_RESPONSE.replace(": r", ":  r ")));
    assertThat(exchange(address)).isEqualTo("own");
  }

  @Test
  void interimResponsesAreSkipped() throws IOException {
    String address =
        serve(
            send(
                "HTTP/1.1 100 Continue\r\n\r\n"
                    + "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
                    + OWN_RESPONSE));
    assertThat(exchange(address)).isEqualTo("own");
  }

  @Test
  void endsAResponseWithoutLengthAtConnectionClose() throws IOException {
    String address =
        serve(
            (id, socket) -> {
              write(id, socket, OWN_RESPONSE.replace("Content-Length: 3\r\n", ""));
              socket.close();
            });
    assertThat(exchange(address)).isEqualTo("own");
  }

  @Test
  void failsAResponseWithoutLengthOnConnectionReset() throws IOException {
    String address =
        serve(
            (id, socket) -> {
              write(id, socket, OWN_RESPONSE.replace("Content-Length: 3\r\n", ""));
              socket.setSoLinger(true, 0);
              socket.close();
            });
    assertThat(exchange(address)).startsWith("!");
  }

  @Test
  void failsAResponseThatIsNotHttp() throws IOException {
    assertThat(exchange(serve(send("nonsense\r\n\r\n")))).startsWith("!");
  }

  private static final String CHUNKED_RESPONSE =
      "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"
          + OWN_RESPONSE.replace("Content-Length: 3\r\n\r\nown", "Transfer-Encoding: chunked")
          + "\r\n\r\n2;a=b\r\now\r\n1\r\nn\r\n0\r\nTrailer: x\r\n\r\n";

  /** Guards against a response that is cut off and looks complete, or malformed. */
  @ParameterizedTest
  @CsvSource({"true, true", "true, false", "false, true", "false, false"})
  void responseCutOffAtAnyByteIsNotComplete(boolean isChunked, boolean isReset) throws IOException {
    String whole = isChunked ? CHUNKED_RESPONSE : OTHER_RESPONSE + OWN_RESPONSE;
    AtomicInteger length = new AtomicInteger();
    String address =
        serve(
            (id, socket) -> {
              write(id, socket, whole.substring(0, length.get()));
              socket.setSoLinger(isReset, 0);
              socket.close();
            });
    List<String> wrong = new ArrayList<>();
    for (; length.get() < whole.length(); length.incrementAndGet()) {
      String outcome = exchange(address);
      boolean isEnd = outcome.startsWith("!the connection ended");
      if (!isEnd && !(isReset && outcome.startsWith("!the connection failed"))) {
        wrong.add(whole.substring(0, length.get()) + " is read as " + outcome);
      }
    }
    assertThat(wrong).isEmpty();
    assertThat(isReset ? "own" : exchange(address)).as("whole response").isEqualTo("own");
  }

  @Test
  void failsATruncatedResponse() throws IOException {
    String address =
        serve(
            (id, socket) -> {
              write(id, socket, OWN_RESPONSE.replace("3\r\n", "30\r\n"));
              socket.close();
            });
    assertThat(exchange(address)).startsWith("!");
  }
}
