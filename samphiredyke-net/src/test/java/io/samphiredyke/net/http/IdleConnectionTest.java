package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Idle connections of a client to a server that is silent, with a clock that the test advances. */
@Timeout(30)
class IdleConnectionTest {

  private static final HttpClientOptions OPTIONS =
      HttpClientOptions.defaults().withConnectionReuse();
  private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private final MockTicker ticker = Ticker.newMockTicker();
  private final ManualIoEventLoop loop =
      new ManualIoEventLoop(null, Thread.currentThread(), NioIoHandler.newFactory(), ticker);
  private final HttpClient client = new HttpClient(loop, OPTIONS);

  @Test
  void connectionToAnAddressThatIsNotUsedAgainIsClosed() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
      CompletableFuture<HttpResponse> response = client.send(HttpRequest.get(address, "/").build());
      loop.runNow();
      try (Socket connection = server.accept()) {
        connection.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
        while (!response.isDone()) {
          loop.runNow();
        }
        connection.setSoTimeout(1_000);
        readRequest(connection);
        advance(OPTIONS.maxIdleTime().toNanos() - 1);
        assertThat(isOpen(connection)).isTrue();
        advance(1);
        assertThat(isOpen(connection)).isFalse();
      }
    }
  }

  private static void readRequest(Socket connection) throws Exception {
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
    while (!reader.readLine().isEmpty()) {}
  }

  private void advance(long nanos) {
    ticker.advance(nanos, TimeUnit.NANOSECONDS);
    loop.runNow();
    loop.runNow();
  }

  private static boolean isOpen(Socket connection) throws IOException {
    try {
      return connection.getInputStream().read() >= 0;
    } catch (SocketTimeoutException e) {
      return true;
    }
  }
}
