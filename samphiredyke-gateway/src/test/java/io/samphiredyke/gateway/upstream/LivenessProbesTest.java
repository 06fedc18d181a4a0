package io.samphiredyke.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.liveness.Liveness;
import io.samphiredyke.core.liveness.LivenessVerdict;
import io.samphiredyke.core.serving.EndpointRecord;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Questions whether an endpoint's process runs, directly and through a peer. */
@Timeout(60)
class LivenessProbesTest extends LostPathFixture {

  private LivenessVerdict ask() {
    CompletableFuture<LivenessVerdict> verdict = new CompletableFuture<>();
    EndpointRecord record =
        new EndpointRecord("e", "s", endpoint.address(), "a", 4, false, 0, 1, 1);
    loop.execute(() -> pool.liveness().ask(record, verdict::complete));
    return verdict.orTimeout(5, TimeUnit.SECONDS).join();
  }

  @Test
  void processThatRespondsIsAlive() {
    assertThat(ask().liveness()).isEqualTo(Liveness.ALIVE);
    assertThat(exchange()).isEqualTo("own");
    assertThat(ask().liveness()).as("on the kept connection").isEqualTo(Liveness.ALIVE);
    assertThat(endpoint.connections()).isEqualTo(2);
  }

  @Test
  void processThatNobodyReachesIsGone() throws IOException {
    directAddress = refusingAddress();
    peerSideAddress = directAddress;
    assertThat(ask().liveness()).isEqualTo(Liveness.GONE);
    peers = List.of();
    assertThat(ask().liveness()).isEqualTo(Liveness.GONE);
  }

  @Test
  void processThatAPeerReachesIsAlive() throws IOException {
    directAddress = refusingAddress();
    assertThat(ask().liveness()).isEqualTo(Liveness.ALIVE);
    assertThat(isLost()).isTrue();
    assertThat(ask().liveness()).isEqualTo(Liveness.ALIVE);
  }

  @Test
  void processBehindLostPathIsGoneIfItRefusesThePeer() throws IOException {
    directAddress = refusingAddress();
    assertThat(exchange()).isEqualTo("own");
    assertThat(isLost()).isTrue();
    onLoop(
        () -> {
          pool.closeIdle();
          return 0;
        });
    peerSideAddress = refusingAddress();
    assertThat(ask().liveness()).isEqualTo(Liveness.GONE);
  }

  @Test
  void processIsUnknownIfThePathsAreLost() throws IOException {
    directAddress = refusingAddress();
    onLoop(() -> peerPaths.confirmedLost(endpoint.address(), loop.ticker().nanoTime()));
    assertThat(ask().liveness()).isEqualTo(Liveness.UNKNOWN);
  }

  @Test
  void processThatHangsIsUnknown() throws IOException {
    directAddress = hangingAddress();
    peers = List.of();
    assertThat(ask().liveness()).isEqualTo(Liveness.UNKNOWN);
  }

  /** Guards against a question of a request that has ended, and against state that stays. */
  @Test
  void cancelledQuestionHasNoVerdict() {
    CompletableFuture<LivenessVerdict> verdict = new CompletableFuture<>();
    EndpointRecord record =
        new EndpointRecord("e", "s", endpoint.address(), "a", 4, false, 0, 1, 1);
    onLoop(
        () -> {
          pool.liveness().ask(record, verdict::complete).run();
          return 0;
        });
    assertThat(ask().liveness()).isEqualTo(Liveness.ALIVE);
    assertThat(verdict).isNotDone();
    assertThat(onLoop(() -> pool.liveness().size())).isZero();
  }
}
