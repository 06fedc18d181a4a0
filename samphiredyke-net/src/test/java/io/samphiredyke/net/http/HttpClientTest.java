package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections that are silent, abandoned, or never stop sending. */
@Timeout(30)
class HttpClientTest {

  private static final Duration TIMEOUT = Duration.ofMillis(200);

  /**
   * Of requests that are answered, so that a server thread without processor time is no failure.
   */
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(5);

  /** The kernel drops connections beyond the backlog, and the client retries only after 1 s. */
  private static final int BACKLOG = 1024;

  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String CHUNKS = "2;a=b\r\nab\r\n1\r\nc\r\n0\r\nA: b\r\n\r\n";
  private static final String SIZED =
      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final Duration MAX_READ_TIME = Duration.ofMillis(500);
  private static final int REPEATED_RESPONSE_LENGTH =
      "HTTP/1.1 500 S\r\nContent-Length: 3\r\n\r\n500".length();

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client =
      new HttpClient(
          group,
          HttpClientOptions.defaults()
              .withConnectionReuse()
              .withBodyLimits(MAX_BODY_BYTES, MAX_READ_TIME));
  private final CyclicBarrier step = new CyclicBarrier(2);
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread acceptor = new Thread(this::acceptAll);
    acceptor.setDaemon(true);
    acceptor.start();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Serves the paths below, and never responds to others. */
  private void acceptAll() {
    try {
      while (true) {
        Socket socket = server.accept();
        accepted.add(socket);
        Thread serving = new Thread(() -> serve(socket));
        serving.setDaemon(true);
        serving.start();
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket socket) {
    try {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      OutputStream out = socket.getOutputStream();
      String last = "";
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith("GET /ok")) {
          out.write(
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        } else if (line.startsWith("GET /repeated/")) {
          String[] path = line.split("[/ ]");
          String copy = last.substring(0, Math.min(last.length(), Integer.parseInt(path[4])));
          last = "HTTP/1.1 " + path[3] + " S\r\nContent-Length: 3\r\n\r\n" + path[3];
          out.write((copy + last).getBytes(StandardCharsets.UTF_8));
        } else if (line.startsWith("GET /surplus")) {
          out.write(
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 500 Int"
                  .getBytes(StandardCharsets.UTF_8));
        } else if (line.startsWith("GET /cut/")) {
          String[] path = line.split("[/ ]");
          String whole = path[3].equals("chunked") ? CHUNKED + CHUNKS : SIZED;
          out.write(whole.substring(0, Integer.parseInt(path[5])).getBytes(StandardCharsets.UTF_8));
          socket.setSoLinger(path[4].equals("reset"), 0);
          socket.close();
          return;
        } else if (line.startsWith("GET /interim")) {
          out.write(
              ("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                  .getBytes(StandardCharsets.UTF_8));
        } else if (line.startsWith("GET /endless-interim")) {
          while (true) {
            out.write("HTTP/1.1 103 Early Hints\r\n\r\n".getBytes(StandardCharsets.UTF_8));
          }
        } else if (line.startsWith("GET /endless-head")) {
          sendEndlessly(out, "HTTP/1.1 200 OK\r\nA: b", "c");
        } else if (line.startsWith("GET /endless-blanks")) {
          sendEndlessly(out, "", "\r\n");
        } else if (line.startsWith("GET /endless-chunk-extension")) {
          sendEndlessly(out, CHUNKED + "1;a=", "b");
        } else if (line.startsWith("GET /endless-trailers")) {
          sendEndlessly(out, CHUNKED + "0\r\n", "a: b\r\n");
        } else if (line.startsWith("GET /trickle")) {
          out.write(CHUNKED.getBytes(StandardCharsets.UTF_8));
          while (true) {
            out.write("1\r\na\r\n".getBytes(StandardCharsets.UTF_8));
            Thread.sleep(TIMEOUT.toMillis() / 10);
          }
        } else if (line.startsWith("GET /while-busy")) {
          step.await();
          step.await();
          out.write(
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
          step.await();
        } else if (line.startsWith("GET /megabyte-without-end")) {
          out.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.UTF_8));
          out.write(new byte[1 << 20]);
        } else if (line.startsWith("GET /endless")) {
          out.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.UTF_8));
          while (true) {
            out.write(new byte[1 << 20]);
          }
        }
      }
      socket.close();
    } catch (IOException | InterruptedException | BrokenBarrierException e) {
      close(socket);
    }
  }

  private static void sendEndlessly(OutputStream out, String begin, String rest)
      throws IOException {
    out.write(begin.getBytes(StandardCharsets.UTF_8));
    byte[] repeated = rest.repeat(1_000).getBytes(StandardCharsets.UTF_8);
    while (true) {
      out.write(repeated);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private CompletableFuture<HttpResponse> get(String path, boolean newConnection) {
    return get(path, newConnection, TIMEOUT);
  }

  private CompletableFuture<HttpResponse> get(
      String path, boolean newConnection, Duration timeout) {
    InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
    return client.send(
        HttpRequest.get(address, path).timeout(timeout).newConnection(newConnection).build());
  }

  private HttpResponse answer(String path, boolean newConnection) {
    return get(path, newConnection, LONG_TIMEOUT).join();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 1_000 && !condition.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  @Test
  void newConnectionIsOpenedAlthoughOneIsIdle() {
    answer("/ok", false);
    answer("/ok", false);
    assertThat(accepted).hasSize(1);
    answer("/ok", true);
    assertThat(accepted).hasSize(2);
  }

  /** Guards against the begin of a surplus response that becomes the status of the next one. */
  @Test
  void connectionWithBytesAfterTheResponseIsNotReused() {
    assertThat(answer("/surplus", false).status()).isEqualTo(200);
    assertThat(answer("/ok", false).status()).isEqualTo(200);
    assertThat(accepted).hasSize(2);
  }

  /** Guards against a response that is cut off, also within its head, and looks complete. */
  @ParameterizedTest
  @ValueSource(strings = {"chunked/end/", "chunked/reset/", "sized/end/", "sized/reset/"})
  void responseCutOffAtAnyByteIsNotComplete(String path) {
    int whole = path.startsWith("sized") ? SIZED.length() : (CHUNKED + CHUNKS).length();
    for (int length = 0; length < whole; length++) {
      assertThat(get("/cut/" + path + length, true, LONG_TIMEOUT))
          .as(path + length)
          .failsWithin(LONG_TIMEOUT.plusSeconds(1))
          .withThrowableThat()
          .withCauseInstanceOf(ConnectionLostException.class)
          .withMessageNotContaining("no data received");
    }
    if (path.endsWith("end/")) {
      assertThat(get("/cut/" + path + whole, true, LONG_TIMEOUT).join().text()).isEqualTo("abc");
    }
  }

  /** Guards against a late second copy of a response that is taken for the next response. */
  @Test
  void secondCopyOfResponseIsNotTakenForTheNextOne() {
    HttpClient byDefault = new HttpClient(group, HttpClientOptions.defaults());
    InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
    List<String> wrong = new ArrayList<>();
    for (int copied = 1; copied <= REPEATED_RESPONSE_LENGTH; copied++) {
      for (String status : List.of("500", "200")) {
        HttpRequest request =
            HttpRequest.get(address, "/repeated/" + status + "/" + copied).build();
        String received =
            byDefault
                .send(request)
                .handle((it, failed) -> failed == null ? it.text() : failed.getMessage())
                .join();
        if (!received.equals(status)) {
          wrong.add(received + " in place of " + status + " after " + copied + " bytes");
        }
      }
    }
    assertThat(wrong).isEmpty();
  }

  /** Guards against an interim response that is taken for the response. */
  @Test
  void interimResponseIsSkipped() {
    HttpResponse response = answer("/interim", false);
    assertThat(response.status()).isEqualTo(200);
    assertThat(response.body()).asString().isEqualTo("ok");
  }

  @Test
  void interimResponsesWithoutEndFail() {
    assertThatThrownBy(() -> get("/endless-interim", false).join()).hasMessageContaining("interim");
  }

  @Test
  void connectionThatTimedOutClosesTheIdleOnesToItsAddress() throws InterruptedException {
    answer("/ok", false);
    assertThatThrownBy(() -> get("/silent", true).join()).hasMessageContaining("no data received");
    await(() -> accepted.stream().allMatch(Socket::isClosed));
    answer("/ok", false);
    assertThat(accepted).hasSize(3);
  }

  /** Guards against a response that counts as missing because the client was busy or paused. */
  @Test
  void responseThatArrivesWhileTheClientIsBusyIsNotLost() throws Exception {
    Duration timeout = TIMEOUT.multipliedBy(5);
    CompletableFuture<HttpResponse> response = get("/while-busy", true, timeout);
    step.await();
    // Sent by the loop, so that the response can't arrive before its action is added.
    CompletableFuture<Boolean> wasBusy =
        CompletableFuture.supplyAsync(
                () -> get("/ok", true, LONG_TIMEOUT).thenApply(it -> occupyLoop(timeout)),
                group.next())
            .thenCompose(busy -> busy);
    assertThat(response.join().status()).isEqualTo(200);
    assertThat(wasBusy.join()).isTrue();
  }

  private boolean occupyLoop(Duration time) {
    try {
      step.await();
      step.await();
      Thread.sleep(time.toMillis());
      return group.next().inEventLoop();
    } catch (InterruptedException | BrokenBarrierException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void cancelledCallClosesItsConnection() throws InterruptedException {
    CompletableFuture<HttpResponse> silent = get("/silent", false);
    await(() -> accepted.size() == 1);
    silent.cancel(false);
    await(() -> accepted.get(0).isClosed());
  }

  @Test
  void endlessResponseIsClosed() throws InterruptedException {
    assertThatThrownBy(() -> get("/endless", false).join()).hasMessageContaining("exceeds");
    await(() -> accepted.get(0).isClosed());
  }

  /** Guards against one server whose bodies, each within the limit, together fill the memory. */
  @Test
  void bodiesOfOneServerShareTheLimit() {
    List<CompletableFuture<HttpResponse>> endless = new ArrayList<>();
    for (int i = 0; i < 3 * MAX_BODY_BYTES >> 20; i++) {
      endless.add(get("/megabyte-without-end", true, TIMEOUT.multipliedBy(10)));
    }
    assertThat(answer("/ok", true).status()).isEqualTo(200);
    assertThat(endless).anyMatch(call -> !call.isDone());
    List<String> failures =
        endless.stream()
            .map(call -> call.handle((it, failed) -> String.valueOf(failed)).join())
            .toList();
    assertThat(failures)
        .filteredOn(failure -> failure.contains("exceeds"))
        .hasSizeGreaterThanOrEqualTo(2 * MAX_BODY_BYTES >> 20);
    assertThat(answer("/ok", true).status()).isEqualTo(200);
  }

  /** Guards against a body that is never complete and never silent for the timeout. */
  @Test
  void responseThatNeverEndsIsGivenUp() {
    CompletableFuture<HttpResponse> trickle = get("/trickle", true, TIMEOUT.multipliedBy(10));
    assertThatThrownBy(() -> trickle.get(5, TimeUnit.SECONDS))
        .hasMessageContaining("no complete response");
  }

  @Test
  void headsChunkExtensionsAndTrailersWithoutEndFail() {
    for (String part : List.of("head", "blanks", "chunk-extension", "trailers")) {
      CompletableFuture<HttpResponse> call = get("/endless-" + part, true);
      assertThatThrownBy(() -> call.get(5, TimeUnit.SECONDS))
          .as(part)
          .hasCauseInstanceOf(ConnectionLostException.class);
    }
  }
}
