package io.samphiredyke.gateway.tunnel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Ends that a server of tunnels states to hosts that ask for it. */
@Timeout(60)
class TunnelFramingTest extends TunnelServerFixture {

  private final List<Socket> stopped = new ArrayList<>();

  private Socket requestFramed() throws IOException {
    Socket caller = connect();
    write(caller, new TunnelRequest(endpointAddress, "e 1", "r-1", SELF, true).encode());
    assertThat(readHead(caller))
        .isEqualTo("HTTP/1.1 200 tunnel opened\r\ntunnel-ends: stated\r\n\r\n");
    return caller;
  }

  @Test
  void statesTheEndpointsRegularEnd() throws IOException {
    try (Socket caller = requestFramed()) {
      write(caller, "ping");
      try (Socket accepted = endpoint.accept()) {
        assertThat(accepted.getInputStream().readNBytes(4)).asString().isEqualTo("ping");
        write(accepted, "last words");
      }
      assertThat(caller.getInputStream().readAllBytes())
          .asString()
          .isEqualTo("\0\0\0\nlast words\0\0\0\0");
    }
  }

  /** Guards against bytes behind the stated end that are passed on as the endpoint's. */
  @Test
  void bytesBehindTheStatedEndAreDropped() {
    EmbeddedChannel asking = new EmbeddedChannel();
    TunnelFraming.addDecoder(asking.pipeline(), true);
    asking.writeInbound(
        Unpooled.copiedBuffer("\0\0\0\2ok\0\0\0\0\0\0\0\2no", StandardCharsets.ISO_8859_1));
    ByteBuf received = asking.readInbound();
    assertThat(received.toString(StandardCharsets.ISO_8859_1)).isEqualTo("ok");
    assertThat((Object) asking.readInbound()).isNull();
  }

  /** Guards against an end that is stated though the endpoint did not end the connection. */
  @Test
  void statesNoEndIfTheEndpointResetsOrTheHostStops() throws IOException {
    try (Socket caller = requestFramed()) {
      Socket accepted = endpoint.accept();
      accepted.setSoLinger(true, 0);
      accepted.close();
      assertThatThrownBy(() -> caller.getInputStream().read()).isInstanceOf(SocketException.class);
    }
    for (int i = 0; i < 8; i++) {
      Socket caller = requestFramed();
      write(endpoint.accept(), "x");
      assertThat(caller.getInputStream().readNBytes(5)).asString().isEqualTo("\0\0\0\1x");
      stopped.add(caller);
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    for (Socket caller : stopped) {
      assertThat(bytesUntilTheEnd(caller)).isZero();
    }
  }

  private static int bytesUntilTheEnd(Socket socket) throws IOException {
    try (socket) {
      return socket.getInputStream().readAllBytes().length;
    } catch (SocketException e) {
      return 0;
    }
  }
}
