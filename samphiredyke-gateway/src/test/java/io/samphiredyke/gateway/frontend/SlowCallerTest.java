package io.samphiredyke.gateway.frontend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.http.ClientMemory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers that read nothing of a response for some time, with a clock that the test advances. */
@Timeout(60)
class SlowCallerTest {

  /** More than the operating system takes for a caller that does not read. */
  private static final int BODY_BYTES = 32 * 1024 * 1024;

  /** More than the operating system buffers, so that the server can send some of the next part. */
  private static final int PART_BYTES = 8 * 1024 * 1024;

  private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
  private static final int IDLE_MILLIS = 15_000;

  private final MockTicker ticker = Ticker.newMockTicker();
  private final ManualIoEventLoop loop =
      new ManualIoEventLoop(null, Thread.currentThread(), NioIoHandler.newFactory(), ticker);
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();
  private final FrontendServer server =
      new FrontendServer(
          loop,
          SlowCallerTest::respond,
          () -> new CallerLimits(2_048, 4_096, 3_000, IDLE_MILLIS),
          new ClientMemory(1 << 24, (name, bytes, used) -> {}),
          100,
          new DecisionLog(log, () -> 0));
  private Socket caller;

  @BeforeEach
  void connect() throws Exception {
    InetSocketAddress address;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    }
    boolean[] isBound = new boolean[1];
    server.start(address).thenRun(() -> isBound[0] = true);
    runUntil(() -> isBound[0]);
    caller = new Socket();
    caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    caller.connect(address);
  }

  @AfterEach
  void stop() throws IOException {
    caller.close();
    loop.shutdown();
    while (!loop.isTerminated()) {
      loop.runNow();
    }
  }

  private static RequestHandler.Observer respond(CallerRequest request) {
    request.body().release();
    request
        .writer()
        .send(200, new DefaultHttpHeaders(false), Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
    return new RequestHandler.Observer() {
      @Override
      public void onDisconnected() {}

      @Override
      public void onWritable() {}
    };
  }

  private void runUntil(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 5_000 && !condition.getAsBoolean(); i++) {
      if (loop.runNow() == 0) {
        Thread.sleep(1);
      }
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  private void request(String header) throws Exception {
    String text = "GET / HTTP/1.1\r\nHost: a\r\n" + header + "\r\n";
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    runUntil(() -> server.busyConnections() == 1);
  }

  private void checkTimeoutsAfter(int millis) {
    loop.runNow();
    ticker.advanceMillis(millis);
    server.closeExpired();
    loop.runNow();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "Connection: close\r\n"})
  void callerThatReadsNothingIsDisconnectedAfterTheIdleTimeout(String header) throws Exception {
    request(header);
    checkTimeoutsAfter(IDLE_MILLIS - 1);
    assertThat(server.openConnections()).isEqualTo(1);
    checkTimeoutsAfter(IDLE_MILLIS + 1);
    assertThat(server.openConnections()).isZero();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "Connection: close\r\n"})
  void callerThatReadsSlowlyGetsTheWholeResponse(String header) throws Exception {
    request(header);
    InputStream in = caller.getInputStream();
    int read = 0;
    for (int part = PART_BYTES; part <= BODY_BYTES; part += PART_BYTES) {
      while (read < part) {
        runUntil(() -> isAvailable(in));
        read += in.readNBytes(Math.min(part - read, in.available())).length;
      }
      checkTimeoutsAfter(IDLE_MILLIS - 1);
    }
  }

  private static boolean isAvailable(InputStream in) {
    try {
      return in.available() > 0;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
