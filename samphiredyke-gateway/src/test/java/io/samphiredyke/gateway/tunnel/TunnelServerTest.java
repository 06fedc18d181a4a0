package io.samphiredyke.gateway.tunnel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tunnels over loopback between blocking sockets. */
@Timeout(60)
class TunnelServerTest extends TunnelServerFixture {

  @Test
  void passesBytesBothWays() throws IOException {
    try (Socket caller = connect()) {
      assertThat(request(caller)).isEqualTo(OPENED);
      try (Socket accepted = endpoint.accept()) {
        write(caller, "ping");
        assertThat(accepted.getInputStream().readNBytes(4)).asString().isEqualTo("ping");
        write(accepted, "pong");
        assertThat(caller.getInputStream().readNBytes(4)).asString().isEqualTo("pong");
      }
    }
    assertThat(events).containsExactly("tunnel_opened");
  }

  @Test
  void refusesUnknownEndpoints() throws IOException {
    try (Socket caller = connect()) {
      assertThat(request(caller, endpointAddress, "other")).startsWith("HTTP/1.1 404 ");
    }
    try (Socket caller = connect()) {
      assertThat(request(caller, "127.0.0.1:22", "e 1")).startsWith("HTTP/1.1 404 ");
      assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(events).containsExactly("tunnel_refused", "tunnel_refused");
  }

  @Test
  void refusesWhenTheOwnPathIsLostOrTheHostStops() throws IOException {
    onLoop(() -> paths.confirmedLost(endpointAddress, loop.ticker().nanoTime()));
    try (Socket caller = connect()) {
      assertThat(request(caller)).startsWith("HTTP/1.1 503 ").contains(TunnelResponse.PATH_LOST);
    }
    onLoop(() -> paths.directConnected(endpointAddress, loop.ticker().nanoTime()));
    try (Socket open = connect()) {
      assertThat(request(open)).isEqualTo(OPENED);
      loop.execute(server::drain);
      try (Socket caller = connect()) {
        assertThat(request(caller)).startsWith("HTTP/1.1 503 ").contains(TunnelResponse.STOPPING);
      }
      write(open, "x");
      assertThat(endpoint.accept().getInputStream().read()).isEqualTo('x');
      assertThat(onLoop(server::openTunnels)).isEqualTo(1);
    }
  }

  @Test
  void statesThatTheEndpointIsNotReached() throws IOException {
    endpoint.close();
    try (Socket caller = connect()) {
      String head = request(caller);
      assertThat(head).startsWith("HTTP/1.1 502 ").contains("refused");
      assertThat(TunnelResponse.refusal(head).kind())
          .isEqualTo(TunnelRefusal.Kind.ENDPOINT_UNREACHABLE);
    }
  }

  @Test
  void passesOnTheCallersClose() throws IOException {
    Socket caller = connect();
    request(caller);
    try (Socket accepted = endpoint.accept()) {
      accepted.setSoTimeout(2_000);
      caller.close();
      assertThat(accepted.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Test
  void passesOnTheCallersCloseWhileTheEndpointSends() throws Exception {
    Socket caller = connect();
    request(caller);
    Socket accepted = endpoint.accept();
    CompletableFuture<Exception> failure = new CompletableFuture<>();
    startThread(() -> writeUntilFailure(accepted, failure));
    Thread.sleep(300);
    caller.close();
    assertThat(failure.get(2, TimeUnit.SECONDS)).isInstanceOf(SocketException.class);
    await(() -> onLoop(server::openTunnels) == 0);
  }

  private static void startThread(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  private static void writeUntilFailure(Socket socket, CompletableFuture<Exception> failure) {
    try {
      while (true) {
        socket.getOutputStream().write(new byte[8_192]);
      }
    } catch (IOException e) {
      failure.complete(e);
    }
  }

  @Test
  void passesOnTheEndpointsCloseAfterItsBytes() throws IOException {
    try (Socket caller = connect()) {
      request(caller);
      try (Socket accepted = endpoint.accept()) {
        write(accepted, "last words");
      }
      assertThat(caller.getInputStream().readAllBytes()).asString().isEqualTo("last words");
    }
  }

  @Test
  void passesOnTheEndpointsResetAsReset() throws IOException {
    try (Socket caller = connect()) {
      request(caller);
      Socket accepted = endpoint.accept();
      accepted.setSoLinger(true, 0);
      accepted.close();
      assertThatThrownBy(() -> caller.getInputStream().read()).isInstanceOf(SocketException.class);
    }
  }

  @Test
  void slowReaderSlowsTheEndpoint() throws Exception {
    int total = 48 * 1024 * 1024;
    AtomicLong written = new AtomicLong();
    try (Socket caller = connect()) {
      request(caller);
      Socket accepted = endpoint.accept();
      startThread(() -> writePattern(accepted, total, written));
      long before = -1;
      while (written.get() != before) {
        before = written.get();
        Thread.sleep(500);
      }
      assertThat(before).isLessThan(total / 2);
      byte[] received = caller.getInputStream().readNBytes(total);
      assertThat(received).hasSize(total);
      for (int i = 0; i < total; i++) {
        if (received[i] != (byte) (i / 1_024)) {
          throw new AssertionError("wrong byte at " + i);
        }
      }
      assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }
  }

  private static void writePattern(Socket socket, int total, AtomicLong written) {
    try (socket) {
      byte[] block = new byte[1_024];
      for (int i = 0; i < total / block.length; i++) {
        java.util.Arrays.fill(block, (byte) i);
        socket.getOutputStream().write(block);
        written.addAndGet(block.length);
      }
    } catch (IOException e) {
      written.set(-2);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET / HTTP/1.1\r\n\r\n",
        "CONNECT 127.0.0.1:1 HTTP/1.1\r\n\r\n",
        "CONNECT  HTTP/1.1\r\ntunnel-endpoint: e\r\n\r\n",
        "CONNECT 127.0.0.1:1 HTTP/1.1\r\ntunnel-endpoint: %zz\r\n\r\n",
        "CONNECT 127.0.0.1:1 HTTP/1.1\r\ntunnel-endpoint: e\r\ntunnel-endpoint: e\r\n\r\n",
        "CONNECT 127.0.0.1:1 HTTP/1.1\r\ntunnel-endpoint: e\r\n\r\nsurplus",
        "\r\n\r\n",
        "\0\1\377\r\n\r\n"
      })
  void closesOnMalformedHeads(String head) throws Exception {
    try (Socket caller = connect()) {
      write(caller, head);
      assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(events).containsExactly("tunnel_malformed");
    passesBytesAfterwards();
  }

  private void passesBytesAfterwards() throws IOException {
    try (Socket caller = connect()) {
      assertThat(request(caller)).isEqualTo(OPENED);
    }
  }

  @Test
  void closesOnLongHeads() throws Exception {
    try (Socket caller = connect()) {
      write(caller, "CONNECT " + "x".repeat(1_100));
      assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(events).containsExactly("tunnel_malformed");
    passesBytesAfterwards();
  }

  @Test
  void closesConnectionsWithoutHead() throws Exception {
    try (Socket caller = connect()) {
      write(caller, "CONNECT ");
      long start = System.nanoTime();
      assertThat(caller.getInputStream().read()).isEqualTo(-1);
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
      assertThat(millis).isBetween(700L, 3_000L);
    }
    assertThat(events).containsExactly("tunnel_malformed");
  }

  @Test
  void refusesMoreTunnelsThanTheLimit() throws Exception {
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < TunnelServer.MAX_TUNNELS; i++) {
      Socket caller = connect();
      callers.add(caller);
      assertThat(request(caller)).isEqualTo(OPENED);
    }
    try (Socket caller = connect()) {
      assertThat(request(caller)).startsWith("HTTP/1.1 503 ").contains(TunnelResponse.LIMIT);
    }
    callers.get(0).close();
    await(() -> onLoop(server::openTunnels) == TunnelServer.MAX_TUNNELS - 1);
    passesBytesAfterwards();
    for (Socket caller : callers) {
      caller.close();
    }
    await(() -> onLoop(server::openTunnels) == 0);
  }

  @Test
  void closesTunnelsOfHostsThatHaveLeft() throws Exception {
    try (Socket caller = connect()) {
      request(caller);
      loop.submit(server::closeAbandoned).get();
      live = List.of();
      loop.submit(server::closeAbandoned).get();
      assertThat(onLoop(server::openTunnels)).isEqualTo(1);
      Thread.sleep(2_100);
      loop.submit(server::closeAbandoned).get();
      assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(events).containsExactly("tunnel_opened", "tunnel_abandoned");
  }
}
