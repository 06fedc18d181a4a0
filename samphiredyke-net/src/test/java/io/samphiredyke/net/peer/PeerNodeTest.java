package io.samphiredyke.net.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.schema.message.PeerMessage;
import io.samphiredyke.schema.message.ReadRegister;
import io.samphiredyke.schema.message.RequestStatus;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerNodeTest {

  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final PeerKey OLD = PeerKey.parse("old:00112233");
  private static final PeerKey NEW = PeerKey.parse("new:44556677");
  private static final Duration PATIENCE = Duration.ofSeconds(20);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private PeerTransport start(String name, PeerHandler handler, PeerKey... keys) {
    PeerIdentity self = new PeerIdentity(name, name + "-1", "127.0.0.1:1", "dc");
    PeerKeys all = new PeerKeys(List.of(keys));
    return PeerTransport.start(group, ANY_PORT, self, all, PeerOptions.defaults(), handler).join();
  }

  private PeerTransport echo(String name, PeerKey... keys) {
    return start(
        name,
        (from, message, reply) -> {
          ReadRegister read = (ReadRegister) message;
          String answer = from.name() + ":" + read.requestId();
          reply.accept(RequestStatus.builder().requestId(answer).build());
        },
        keys);
  }

  private static PeerMessage read(String id) {
    return ReadRegister.builder().requestId(id).build();
  }

  @Test
  void answersRequestsOfAuthenticatedPeers() {
    PeerTransport server = echo("server", NEW, OLD);
    PeerTransport client = echo("client", OLD, NEW);
    PeerMessage reply = client.request(server.address(), "server-1", read("a"), PATIENCE).join();
    assertThat(((RequestStatus) reply).requestId()).isEqualTo("client:a");
  }

  @Test
  void refusesPeersWithAnotherKey() {
    PeerTransport server = echo("server", NEW);
    PeerTransport client = echo("client", OLD);
    CompletableFuture<PeerMessage> reply =
        client.request(server.address(), null, read("a"), PATIENCE);
    assertThatThrownBy(reply::join)
        .hasCauseInstanceOf(PeerUnreachableException.class)
        .satisfies(e -> assertThat(mayHaveArrived(e)).isFalse());
  }

  @Test
  void neverDeliversToAnotherIncarnation() {
    PeerTransport server = echo("server", NEW);
    PeerTransport client = echo("client", NEW);
    CompletableFuture<PeerMessage> reply =
        client.request(server.address(), "server-0", read("a"), PATIENCE);
    assertThatThrownBy(reply::join).satisfies(e -> assertThat(mayHaveArrived(e)).isFalse());
  }

  @Test
  void condemnsSilentLinksAndOpensNewOnes() {
    CompletableFuture<Void> answer = new CompletableFuture<>();
    PeerTransport server =
        start(
            "server",
            (from, message, reply) -> {
              if (message.equals(read("first"))) {
                reply.accept(message);
              } else {
                answer.thenRun(() -> reply.accept(message));
              }
            },
            NEW);
    PeerTransport client = echo("client", NEW);
    // The link is up before the silent request, so that its time covers no connect or handshake.
    client.request(server.address(), null, read("first"), PATIENCE).join();
    CompletableFuture<PeerMessage> silent =
        client.request(server.address(), null, read("a"), Duration.ofMillis(400));
    assertThatThrownBy(silent::join).satisfies(e -> assertThat(mayHaveArrived(e)).isTrue());
    answer.complete(null);
    assertThat(client.request(server.address(), null, read("b"), PATIENCE).join())
        .isEqualTo(read("b"));
  }

  @Test
  void closesLinksWithMalformedFrames() throws Exception {
    PeerTransport server = echo("server", NEW);
    try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
      OutputStream out = socket.getOutputStream();
      out.write(new byte[] {0, 0, 0, 12, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, (byte) 0xc1, 1});
      out.flush();
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(server.counters().malformedFrames()).isEqualTo(1);
    PeerTransport client = echo("client", NEW);
    assertThat(client.request(server.address(), null, read("b"), PATIENCE).join()).isNotNull();
  }

  private static boolean mayHaveArrived(Throwable thrown) {
    return ((PeerUnreachableException) thrown.getCause()).mayHaveArrived();
  }
}
