package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.EndpointStandIn.Behaviour;
import io.samphiredyke.platform.standin.PlatformFixtures;
import io.samphiredyke.platform.standin.RawServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that a host has read and not answered when it is stopped. */
@Timeout(60)
class GracefulShutdownTest extends GatewayHarness {

  /** Slots of the two plain endpoints. */
  private static final int SLOTS = 8;

  private static final int WAITING = 4;

  /** Time from the end of the process until a caller has received what was sent before. */
  private static final long DELIVERY_MILLIS = 500;

  @BeforeEach
  void shortenGrace() {
    graceMillis = 2_500;
  }

  private CompletableFuture<HttpResponse<String>> sendAsync(RunningGateway to, String path) {
    HttpRequest request = request(to, path).POST(HttpRequest.BodyPublishers.ofString("x")).build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private List<CompletableFuture<HttpResponse<String>>> sendAsync(RunningGateway to, int count) {
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      responses.add(sendAsync(to, "/unsafe/x"));
    }
    return responses;
  }

  /** Begins the shutdown; the future completes where the process would end. */
  private CompletableFuture<Void> stop(RunningGateway running) {
    CompletableFuture<Void> ended = new CompletableFuture<>();
    DecisionLog log = new DecisionLog(new ByteArrayOutputStream(), System::currentTimeMillis);
    new GracefulShutdown(running.gateway(), log, () -> ended.complete(null)).begin();
    return ended;
  }

  private static long count(List<CompletableFuture<HttpResponse<String>>> all, int status) {
    return all.stream()
        .filter(CompletableFuture::isDone)
        .filter(response -> response.join().statusCode() == status)
        .count();
  }

  private static void awaitDelivery(List<CompletableFuture<HttpResponse<String>>> responses) {
    CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new))
        .completeOnTimeout(null, DELIVERY_MILLIS, TimeUnit.MILLISECONDS)
        .join();
  }

  private static boolean isScheduler(RunningGateway host) {
    return host.gateway().peers().isSchedulerOf("plain");
  }

  private void hang() {
    plainEndpoints.forEach(endpoint -> endpoint.setBehaviour(Behaviour.HANG));
  }

  /** Guards against requests that wait for a slot and are closed without an answer. */
  @Test
  void waitingRequestsAreRefusedAndRunningOnesReportedBeforeTheEnd() {
    RunningGateway running = startConfiguredGateway();
    hang();
    List<CompletableFuture<HttpResponse<String>>> responses = sendAsync(running, SLOTS + WAITING);
    await(() -> runs(plainEndpoints) == SLOTS);
    stop(running).join();
    awaitDelivery(responses);
    assertThat(count(responses, 503)).as("refused").isEqualTo(WAITING);
    assertThat(count(responses, 502)).as("unknown").isEqualTo(SLOTS);
    assertThat(runs(plainEndpoints)).isEqualTo(SLOTS);
  }

  /** Guards against the same for requests that wait at the scheduler of another host. */
  @Test
  void requestsThatWaitAtAnotherHostAreRefused() {
    RunningGateway first = startConfiguredGateway();
    RunningGateway second = startGateway("host-2", List.of(first.peerAddress()));
    await(() -> first.gateway().readyAddresses().size() == 2);
    await(() -> second.gateway().readyAddresses().size() == 2);
    await(() -> isScheduler(first) != isScheduler(second));
    RunningGateway stopped = isScheduler(first) ? second : first;
    hang();
    // More than both hosts grant if one schedules alone because the other is silent for a moment.
    int sent = 3 * SLOTS;
    List<CompletableFuture<HttpResponse<String>>> responses = sendAsync(stopped, sent);
    await(() -> runs(plainEndpoints) >= SLOTS);
    stop(stopped).join();
    awaitDelivery(responses);
    int run = runs(plainEndpoints);
    assertThat(run).isLessThan(sent);
    assertThat(count(responses, 503)).as("refused").isEqualTo(sent - run);
    assertThat(count(responses, 502)).as("unknown").isEqualTo(run);
  }

  /** Guards against work that is begun although the process ends before it. */
  @Test
  void requestThatWouldRunBeyondTheEndIsRefused() throws InterruptedException {
    RunningGateway running = startConfiguredGateway();
    plainEndpoints.forEach(endpoint -> endpoint.setBehaviour(Behaviour.SLOW));
    assertThat(post(running, "/unsafe/x", "x").statusCode()).isEqualTo(200);
    final CompletableFuture<Void> ended = stop(running);
    Thread.sleep(graceMillis - EndpointStandIn.SLOW_MILLIS);
    HttpResponse<String> response = post(running, "/unsafe/x", "x");
    assertThat(ended).as("the host still runs").isNotDone();
    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.headers().firstValue("Retry-After")).hasValue("0.000");
    assertThat(runs(plainEndpoints)).isEqualTo(1);
  }

  /** Guards against requests of other hosts that are cut off by the end of the host they cross. */
  @Test
  void tunnelsOfOtherHostsLiveUntilTheyAreClosed() throws Exception {
    graceMillis = 8_000;
    RunningGateway running = startConfiguredGateway();
    try (Socket tunnel = openTunnel(running)) {
      assertThat(tunnel.getInputStream().readNBytes(12)).asString().isEqualTo("HTTP/1.1 200");
      final CompletableFuture<Void> ended = stop(running);
      Thread.sleep(4_500);
      assertThat(ended).isNotDone();
      try (Socket refused = openTunnel(running)) {
        assertThat(refused.getInputStream().readNBytes(12)).asString().isEqualTo("HTTP/1.1 503");
      }
      tunnel.close();
      ended.get(1_500, TimeUnit.MILLISECONDS);
    }
  }

  private static Socket openTunnel(RunningGateway to) throws IOException {
    String endpoint = to.gateway().directory().all().get(0).address();
    String id = to.gateway().directory().all().get(0).id();
    String[] peer = to.peerAddress().split(":", 2);
    Socket socket = new Socket(peer[0], Integer.parseInt(peer[1]));
    RawServer.write(
        socket, "CONNECT " + endpoint + " HTTP/1.1\r\ntunnel-endpoint: " + id + "\r\n\r\n");
    return socket;
  }

  /** Guards against requests that wait for the configuration when the host is stopped. */
  @Test
  void requestsOfTheStartAreRefused() {
    RunningGateway running = startGateway("host-1", List.of());
    List<CompletableFuture<HttpResponse<String>>> responses = sendAsync(running, WAITING);
    stop(running).join();
    awaitDelivery(responses);
    assertThat(count(responses, 503)).isEqualTo(WAITING);
  }

  /** Grace period that ends after callers no longer use the address. */
  private static final int LONG_GRACE_MILLIS = 5_000;

  /** Time of a stop at which callers no longer use the address. */
  private static final int LATE_MILLIS = 3_300;

  private String head(String path, int deadlineMillis) {
    return String.format(
        "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n"
            + "X-Samphiredyke-Request-Id: raw-%d\r\nX-Samphiredyke-Deadline-Ms: %d\r\n"
            + "Content-Length: 1\r\n\r\n",
        path, PlatformFixtures.HOST, PlatformFixtures.KEY, ++requestCount, deadlineMillis);
  }

  /** Returns the response to a request of which the last byte is sent late in the grace period. */
  private String sendLate(RunningGateway to, String path, int deadlineMillis)
      throws IOException, InterruptedException {
    String[] address = to.address().split(":");
    try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
      RawServer.write(socket, head(path, deadlineMillis));
      stop(to);
      Thread.sleep(LATE_MILLIS);
      RawServer.write(socket, "x");
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** Guards against requests late in the grace that are passed on and cut off at its end. */
  @Test
  void lateRequestOfUnknownRunTimeIsRefused() throws Exception {
    graceMillis = LONG_GRACE_MILLIS;
    RunningGateway running = startConfiguredGateway();
    hang();
    assertThat(sendLate(running, "/unsafe/x", 15_000))
        .startsWith("HTTP/1.1 503")
        .containsIgnoringCase("connection: close");
    assertThat(runs(plainEndpoints)).isZero();
  }

  /** Guards against the same if most requests of the route are short. */
  @Test
  void lateRequestOfARouteThatIsSlowAtTimesIsRefused() throws Exception {
    graceMillis = LONG_GRACE_MILLIS;
    RunningGateway running = startConfiguredGateway();
    plainEndpoints.forEach(endpoint -> endpoint.setBehaviour(Behaviour.SLOW));
    post(running, "/unsafe/x", "x");
    plainEndpoints.forEach(endpoint -> endpoint.setBehaviour(Behaviour.SERVE));
    for (int i = 0; i < 30; i++) {
      post(running, "/unsafe/x", "x");
    }
    int before = runs(plainEndpoints);
    plainEndpoints.forEach(endpoint -> endpoint.setBehaviour(Behaviour.SLOW));
    assertThat(sendLate(running, "/unsafe/x", 15_000)).startsWith("HTTP/1.1 503");
    assertThat(runs(plainEndpoints)).isEqualTo(before);
  }

  @Test
  void lateRequestThatTimesOutBeforeTheEndIsServed() throws Exception {
    graceMillis = LONG_GRACE_MILLIS;
    RunningGateway running = startConfiguredGateway();
    assertThat(sendLate(running, "/unsafe/x", LATE_MILLIS + 500)).startsWith("HTTP/1.1 200");
  }

  /** Guards against pipelined requests that are closed without a response at the end. */
  @Test
  void pipelinedRequestIsRefusedAtTheEnd() throws Exception {
    RunningGateway running = startConfiguredGateway();
    hang();
    String[] address = running.address().split(":");
    try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
      RawServer.write(socket, head("/unsafe/x", 15_000) + "x" + head("/unsafe/x", 15_000) + "x");
      await(() -> runs(plainEndpoints) == 1);
      stop(running).join();
      assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
          .startsWith("HTTP/1.1 502")
          .contains("HTTP/1.1 503");
    }
    assertThat(runs(plainEndpoints)).isEqualTo(1);
  }
}
