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

/** Tests authentication, replies and the failure of links between two {@link PeerTransport}s. */
class PeerTransportTest {

  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final PeerKey OLD = PeerKey.parse("old:00112233");
  private static final PeerKey NEW = PeerKey.parse("new:44556677");
  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(20);

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
          String text = from.name() + ":" + read.requestId();
          reply.accept(RequestStatus.builder().requestId(text).build());
        },
        keys);
  }

  private static PeerMessage read(String id) {
    return ReadRegister.builder().requestId(id).build();
  }

  @Test
  void repliesToAuthenticatedPeers() {
    PeerTransport server = echo("server", NEW, OLD);
    PeerTransport client = echo("client", OLD, NEW);
    PeerMessage reply =
        client.request(server.address(), "server-1", read("a"), REPLY_TIMEOUT).join();
    assertThat(((RequestStatus) reply).requestId()).isEqualTo("client:a");
  }

  @Test
  void rejectsPeersWithAnotherKey() {
    PeerTransport server = echo("server", NEW);
    PeerTransport client = echo("client", OLD);
    CompletableFuture<PeerMessage> reply =
        client.request(server.address(), null, read("a"), REPLY_TIMEOUT);
    assertThatThrownBy(reply::join)
        .hasCauseInstanceOf(PeerUnreachableException.class)
        .satisfies(e -> assertThat(mayHaveArrived(e)).isFalse());
  }

  @Test
  void neverDeliversToAnotherIncarnation() {
    PeerTransport server = echo("server", NEW);
    PeerTransport client = echo("client", NEW);
    CompletableFuture<PeerMessage> reply =
        client.request(server.address(), "server-0", read("a"), REPLY_TIMEOUT);
    assertThatThrownBy(reply::join).satisfies(e -> assertThat(mayHaveArrived(e)).isFalse());
  }

  @Test
  void replacesUnresponsiveLinks() {
    CompletableFuture<Void> unblocked = new CompletableFuture<>();
    PeerTransport server =
        start(
            "server",
            (from, message, reply) -> {
              if (message.equals(read("first"))) {
                reply.accept(message);
              } else {
                unblocked.thenRun(() -> reply.accept(message));
              }
            },
            NEW);
    PeerTransport client = echo("client", NEW);
    // The link is established first, so that the short timeout below covers no connect or
    // handshake.
    client.request(server.address(), null, read("first"), REPLY_TIMEOUT).join();
    CompletableFuture<PeerMessage> unanswered =
        client.request(server.address(), null, read("a"), Duration.ofMillis(400));
    assertThatThrownBy(unanswered::join).satisfies(e -> assertThat(mayHaveArrived(e)).isTrue());
    unblocked.complete(null);
    assertThat(client.request(server.address(), null, read("b"), REPLY_TIMEOUT).join())
        .isEqualTo(read("b"));
  }

  /** A caller that reacts to a timeout at once uses the link that replaces the unresponsive one. */
  @Test
  void linkIsReplacedBeforeItsTimeoutIsReported() {
    PeerTransport server =
        start(
            "server",
            (from, message, reply) -> {
              if (!message.equals(read("unanswered"))) {
                reply.accept(message);
              }
            },
            NEW);
    PeerTransport client = echo("client", NEW);
    client.request(server.address(), null, read("first"), REPLY_TIMEOUT).join();
    CompletableFuture<PeerMessage> next =
        client
            .request(server.address(), null, read("unanswered"), Duration.ofMillis(400))
            .exceptionallyCompose(
                e -> client.request(server.address(), null, read("b"), REPLY_TIMEOUT));
    assertThat(next.join()).isEqualTo(read("b"));
  }

  /** Closes the link on its own thread, after a message has found it and before it is queued. */
  @Test
  void messageForALinkThatClosesGoesOverTheNextOne() {
    PeerTransport server = start("server", (from, message, reply) -> reply.accept(message), NEW);
    PeerTransport client = echo("client", NEW);
    client.request(server.address(), null, read("first"), REPLY_TIMEOUT).join();
    OutboundLink link = client.link(server.address());
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    link.loop()
        .execute(
            () -> {
              client
                  .request(server.address(), null, read("b"), REPLY_TIMEOUT)
                  .whenComplete(
                      (message, failure) -> {
                        if (failure == null) {
                          reply.complete(message);
                        } else {
                          reply.completeExceptionally(failure);
                        }
                      });
              link.close("closed by the test");
            });
    assertThat(reply.join()).isEqualTo(read("b"));
  }

  /**
   * Closes the link while a message waits for its handshake. All event loops are held until the
   * message and the closing are queued, so that no handshake can complete between them.
   */
  @Test
  void messageThatWaitsForALinkThatClosesGoesOverTheNextOne() {
    PeerTransport server = start("server", (from, message, reply) -> reply.accept(message), NEW);
    PeerTransport client = echo("client", NEW);
    CompletableFuture<Void> queued = new CompletableFuture<>();
    group.forEach(loop -> loop.execute(queued::join));
    OutboundLink link = client.link(server.address());
    CompletableFuture<PeerMessage> reply =
        client.request(server.address(), null, read("b"), REPLY_TIMEOUT);
    link.loop().execute(() -> link.close("closed by the test"));
    queued.complete(null);
    assertThat(reply.join()).isEqualTo(read("b"));
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
    assertThat(client.request(server.address(), null, read("b"), REPLY_TIMEOUT).join()).isNotNull();
  }

  private static boolean mayHaveArrived(Throwable thrown) {
    return ((PeerUnreachableException) thrown.getCause()).mayHaveArrived();
  }
}
