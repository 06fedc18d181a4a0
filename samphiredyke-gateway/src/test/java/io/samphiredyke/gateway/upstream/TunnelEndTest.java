package io.samphiredyke.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.standin.RawServer;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Ends of responses without length that come through another host. */
@Timeout(60)
class TunnelEndTest extends LostPathFixture {

  private static final String UNSIZED_END = "\r\n\r\now";

  private final CountDownLatch hasBegun = new CountDownLatch(1);
  private final CountDownLatch mayEnd = new CountDownLatch(1);
  private PassingHost host;

  @BeforeEach
  void losePath() throws IOException {
    directAddress = refusingAddress();
    passThrough(UnaryOperator.identity());
  }

  private void passThrough(UnaryOperator<String> filter) throws IOException {
    host = new PassingHost(tunnelServer, filter);
    backlog.add(host);
    peers = List.of(host.address());
  }

  private CompletableFuture<Object> beginUnsized() throws InterruptedException {
    script =
        (id, socket) -> {
          RawServer.write(socket, RESPONSE_START + id + UNSIZED_END);
          hasBegun.countDown();
          awaitLatch(mayEnd);
          RawServer.write(socket, "n");
          socket.close();
        };
    CompletableFuture<Object> outcome = send();
    awaitLatch(hasBegun);
    Thread.sleep(50);
    assertThat(outcome).isNotDone();
    return outcome;
  }

  private static void awaitLatch(CountDownLatch latch) {
    try {
      assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void assertBrokenOff(CompletableFuture<Object> outcome) {
    assertThat(outcome.completeOnTimeout("no outcome", 5, TimeUnit.SECONDS).join())
        .isInstanceOfSatisfying(
            ExchangeFailure.class,
            failure -> {
              assertThat(failure.isUnsent()).isFalse();
              assertThat(failure.isConnectionEnd()).isTrue();
              assertThat(failure.isPathSuspect()).isTrue();
            });
  }

  @Test
  void responseIsNotCompleteIfThePassingHostDies() throws Exception {
    CompletableFuture<Object> outcome = beginUnsized();
    host.close();
    assertBrokenOff(outcome);
    mayEnd.countDown();
  }

  @Test
  void responseEndsWithTheEndpointsConnection() throws Exception {
    CompletableFuture<Object> outcome = beginUnsized();
    mayEnd.countDown();
    assertThat(outcome.get(5, TimeUnit.SECONDS)).isEqualTo("own");
  }

  @Test
  void responseOfResetEndpointIsNotComplete() throws Exception {
    script =
        (id, socket) -> {
          RawServer.write(socket, RESPONSE_START + id + UNSIZED_END);
          awaitLatch(mayEnd);
          socket.setSoLinger(true, 0);
          socket.close();
        };
    CompletableFuture<Object> outcome = send();
    Thread.sleep(50);
    mayEnd.countDown();
    assertBrokenOff(outcome);
  }

  @Test
  void responseWaitsWhileThePathIsCut() throws Exception {
    CompletableFuture<Object> outcome = beginUnsized();
    host.cut();
    mayEnd.countDown();
    Thread.sleep(500);
    assertThat(outcome).isNotDone();
  }

  /** A host of an earlier version states no ends, and does not know the header. */
  @Test
  void endThroughHostThatStatesNoneIsNotComplete() throws Exception {
    passThrough(text -> text.replaceAll("tunnel-ends: [a-z]*\r\n", ""));
    CompletableFuture<Object> outcome = beginUnsized();
    mayEnd.countDown();
    assertBrokenOff(outcome);
    script = (id, socket) -> RawServer.write(socket, RESPONSE_START + id + RESPONSE_END);
    assertThat(exchange()).isEqualTo("own");
    assertThat(exchange()).isEqualTo("own");
  }

  /** Guards against frames that are read as part of a response. */
  @Test
  void longResponsesPassUnchanged() throws Exception {
    String body = "0123456789".repeat(100_000);
    script =
        (id, socket) ->
            RawServer.write(
                socket,
                RESPONSE_START + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    assertThat(exchange()).isEqualTo(body);
    assertThat(exchange()).isEqualTo(body);
    assertThat(paths.tunnelledConnections()).isEqualTo(1);
  }
}
