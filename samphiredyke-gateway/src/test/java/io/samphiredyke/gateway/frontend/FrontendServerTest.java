package io.samphiredyke.gateway.frontend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.http.ClientMemory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections of callers of a server that is drained. */
@Timeout(30)
class FrontendServerTest implements RequestHandler {

  private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

  /** More than the operating system takes for a caller that does not read. */
  private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;

  /** Requests of which more is kept than is read without a pause. */
  private static final int PIPELINED = 4_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final BlockingQueue<ResponseWriter> requests = new LinkedBlockingQueue<>();
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();
  private final FrontendServer server =
      new FrontendServer(
          loop,
          this,
          () -> new CallerLimits(2_048, 4_096, 3_000, 15_000),
          new ClientMemory(1 << 24, (name, bytes, used) -> {}),
          100,
          new DecisionLog(log, () -> 0));
  private final AtomicInteger disconnects = new AtomicInteger();
  private Socket caller;

  @BeforeEach
  void connect() throws IOException {
    InetSocketAddress address;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    }
    server.start(address).join();
    caller = new Socket(address.getAddress(), address.getPort());
  }

  @AfterEach
  void stop() throws IOException {
    caller.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Override
  public Observer handle(CallerRequest request) {
    request.body().release();
    requests.add(request.writer());
    return new Observer() {
      @Override
      public void onDisconnected() {
        disconnects.incrementAndGet();
      }

      @Override
      public void onWritable() {}
    };
  }

  private void send(String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private void respond(int bodyBytes) throws Exception {
    ResponseWriter writer = requests.take();
    loop.submit(
            () ->
                writer.send(
                    200,
                    new DefaultHttpHeaders(false),
                    Unpooled.wrappedBuffer(new byte[bodyBytes])))
        .get();
  }

  /** Guards against responses that are cut off because their callers read slowly. */
  @Test
  void responseThatIsNotFlushedSurvivesTheDrain() throws Exception {
    send(REQUEST);
    respond(LONG_BODY_BYTES);
    loop.submit(server::drain).get();
    loop.submit(server::stopAccepting).get();
    final int busy = loop.submit(server::busyConnections).get();
    String head = "HTTP/1.1 200 OK\r\ncontent-length: " + LONG_BODY_BYTES + "\r\n\r\n";
    int length = head.length() + LONG_BODY_BYTES;
    assertThat(caller.getInputStream().readNBytes(length).length).isEqualTo(length);
    assertThat(busy).isEqualTo(1);
    loop.submit(server::stopAccepting).get();
    assertThat(caller.getInputStream().read()).isEqualTo(-1);
  }

  /** Guards against pipelined requests that are read and closed without a response. */
  @Test
  void pipelinedRequestsAreRespondedToBeforeTheConnectionIsClosed() throws Exception {
    send(REQUEST + REQUEST + REQUEST);
    loop.submit(server::drain).get();
    for (int i = 0; i < 3; i++) {
      respond(1);
    }
    String responses =
        new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    assertThat(responses.split("HTTP/1.1 200 OK")).hasSize(4);
    assertThat(responses.split("connection: close")).hasSize(2);
  }

  /** Guards against callers whose disconnect is not read, as it is behind what they pipelined. */
  @Test
  void disconnectIsDetectedBehindManyPipelinedRequests() throws Exception {
    send(REQUEST.repeat(PIPELINED));
    requests.take();
    caller.close();
    while (disconnects.get() == 0) {
      loop.submit(server::closeExpired).get();
    }
    assertThat(requests).isEmpty();
  }

  /** Guards against requests that are forgotten while reading is paused. */
  @Test
  void manyPipelinedRequestsAreRespondedToInTurn() throws Exception {
    send(REQUEST.repeat(PIPELINED));
    for (int i = 0; i < PIPELINED; i++) {
      respond(1);
    }
    assertThat(requests).isEmpty();
  }

  /** Guards against a request that is cut off, also within its head, and is handled as whole. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 3\r\n\r\nabc",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n"
      })
  void requestCutOffAtAnyByteIsNotHandled(String rest) throws Exception {
    String whole = "POST /x HTTP/1.1\r\nHost: a\r\n" + rest;
    for (int length = 1; length < whole.length(); length++) {
      try (Socket cut = new Socket(caller.getInetAddress(), caller.getPort())) {
        cut.setSoTimeout(5_000);
        cut.getOutputStream().write(whole.substring(0, length).getBytes(StandardCharsets.US_ASCII));
        cut.shutdownOutput();
        assertThat(cut.getInputStream().read()).isEqualTo(-1);
      }
      assertThat(requests).as(whole.substring(0, length)).isEmpty();
    }
    send(whole);
    assertThat(requests.poll(5, TimeUnit.SECONDS)).isNotNull();
  }

  /** Guards against answers of the server itself that no line of the log relates to a request. */
  @Test
  void rejectedRequestIsNamedInTheLog() throws Exception {
    send("POST / HTTP/1.1\r\nX-Samphiredyke-Request-Id: a1\r\nContent-Length: 5000\r\n\r\n");
    assertThat(caller.getInputStream().readAllBytes()).asString().contains(" 413 ");
    while (!log.toString(StandardCharsets.UTF_8).contains("\"event\":\"rejected\",\"id\":\"a1\"")) {
      Thread.sleep(5);
    }
  }
}
