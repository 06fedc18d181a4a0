package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.EndpointStandIn.Behaviour;
import io.samphiredyke.platform.standin.StoreStandIn;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Behaviour of whole gateways with stand-ins of the store and the endpoints, over loopback. */
class GatewayTest extends GatewayHarness {

  @Test
  void forwardsAResponseUnchanged() {
    RunningGateway running = startConfiguredGateway();
    HttpResponse<String> response = post(running, "/unsafe/x?a=b%20c", "body");
    assertThat(response.statusCode()).isEqualTo(200);
    String digest = response.headers().firstValue("X-Samphiredyke-Server-Signature").orElse("");
    assertThat(digest).startsWith("d.p-");
    assertThat(response.body()).startsWith("answer of p-");
    EndpointStandIn.RecordedRequest run =
        plainEndpoints.stream()
            .flatMap(endpoint -> endpoint.runs().stream())
            .findFirst()
            .orElseThrow();
    assertThat(run.body()).isEqualTo("body");
    assertThat(run.headers()).containsEntry("x-samphiredyke-tenant", "customer");
    assertThat(run.headers()).doesNotContainKey("authorization");
    assertThat(Integer.parseInt(run.headers().get("x-samphiredyke-deadline-ms")))
        .isLessThanOrEqualTo(15_000);
  }

  @Test
  void rejectsRequestsTheConfigurationDoesNotAllow() {
    RunningGateway running = startConfiguredGateway();
    assertThat(get(running, "/unknown/x").statusCode()).isEqualTo(404);
    HttpRequest unknownKey =
        HttpRequest.newBuilder(URI.create("http://" + running.address() + "/safe/x"))
            .header("Authorization", "Bearer other")
            .build();
    assertThat(send(unknownKey).statusCode()).isEqualTo(401);
    assertThat(post(running, "/unsafe/x", "x".repeat(5_000)).statusCode()).isEqualTo(413);
    HttpRequest longHead = request(running, "/safe/x").header("X-Long", "x".repeat(3_000)).build();
    assertThat(send(longHead).statusCode()).isEqualTo(431);
    assertThat(runs(plainEndpoints)).isZero();
  }

  @Test
  void responds503WithoutConfiguration() {
    RunningGateway running = startGateway("host-1", List.of());
    HttpResponse<String> response = get(running, "/safe/x");
    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.headers().firstValue("Retry-After")).isPresent();
  }

  @Test
  void retriesAnIdempotentRequestAtAnotherEndpoint() {
    RunningGateway running = startConfiguredGateway();
    plainEndpoints.get(0).setBehaviour(Behaviour.ERROR);
    for (int i = 0; i < 6; i++) {
      assertThat(get(running, "/safe/x").statusCode()).isEqualTo(200);
    }
  }

  @Test
  void neverRetriesANonIdempotentRequestThatMayHaveRun() {
    RunningGateway running = startConfiguredGateway();
    plainEndpoints.forEach(endpoint -> endpoint.setBehaviour(Behaviour.LOSE_ANSWER));
    assertThat(post(running, "/unsafe/x", "body").statusCode()).isEqualTo(502);
    assertThat(runs(plainEndpoints)).isEqualTo(1);
  }

  @Test
  void retriesANonIdempotentRequestThatDidNotRun() {
    RunningGateway running = startConfiguredGateway();
    plainEndpoints.get(0).setBehaviour(Behaviour.REFUSE_UNRUN);
    for (int i = 0; i < 4; i++) {
      assertThat(post(running, "/unsafe/x", "body").statusCode()).isEqualTo(200);
    }
    assertThat(runs(plainEndpoints)).isEqualTo(4);
  }

  @Test
  void responds503IfNoEndpointRanTheRequest() {
    RunningGateway running = startConfiguredGateway();
    plainEndpoints.forEach(endpoint -> endpoint.setBehaviour(Behaviour.REFUSE_UNRUN));
    HttpResponse<String> response = post(running, "/unsafe/x", "body");
    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(runs(plainEndpoints)).isZero();
  }

  @Test
  void abandonsAHangingEndpointIfTheRequestMayBeRetried() {
    RunningGateway running = startConfiguredGateway();
    plainEndpoints.get(0).setBehaviour(Behaviour.HANG);
    for (int i = 0; i < 3; i++) {
      assertThat(get(running, "/safe/x").statusCode()).isEqualTo(200);
    }
    await(() -> plainEndpoints.get(0).abandoned() == plainEndpoints.get(0).runs().size());
  }

  @Test
  void waitsForASlowStream() {
    RunningGateway running = startConfiguredGateway();
    modelEndpoints.forEach(endpoint -> endpoint.setBehaviour(Behaviour.SLOW));
    assertThat(post(running, "/resumable/x", "prompt").statusCode()).isEqualTo(200);
    assertThat(runs(modelEndpoints))
        .as("prefill work of a slow engine is not discarded")
        .isEqualTo(1);
  }

  @Test
  void resumesABrokenStreamWithoutLossOrDuplicates() {
    RunningGateway running = startConfiguredGateway();
    modelEndpoints.get(0).setBehaviour(Behaviour.BREAK_OFF);
    for (int i = 0; i < 4; i++) {
      HttpResponse<String> response = post(running, "/resumable/x", "prompt");
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body())
          .isEqualTo(
              "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\n"
                  + "id: 4\ndata: token\n\nid: 5\ndata: token\n\n");
    }
  }

  /** Guards against a failure without body that ends a resumed stream as if it were complete. */
  @Test
  void failureOfAnEndpointDoesNotCompleteAResumedStream() {
    RunningGateway running = startConfiguredGateway();
    modelEndpoints.forEach(endpoint -> endpoint.setBehaviour(Behaviour.REJECT_RESUMED));
    for (int i = 0; i < 8; i++) {
      HttpRequest request =
          request(running, "/resumable/x").POST(HttpRequest.BodyPublishers.ofString("p")).build();
      int status =
          client
              .sendAsync(request, HttpResponse.BodyHandlers.ofString())
              .handle((response, failure) -> failure == null ? response.statusCode() : -1)
              .join();
      assertThat(status).as("complete response").isNotEqualTo(200);
    }
    assertThat(modelEndpoints.stream().flatMap(endpoint -> endpoint.runs().stream()))
        .anyMatch(run -> run.headers().containsKey("last-event-id"));
  }

  @Test
  void abortsABrokenStreamThatIsNotResumable() {
    RunningGateway running = startConfiguredGateway();
    modelEndpoints.forEach(endpoint -> endpoint.setBehaviour(Behaviour.BREAK_OFF));
    CompletableFuture<HttpResponse<String>> response =
        client.sendAsync(
            request(running, "/stream/x").POST(HttpRequest.BodyPublishers.ofString("p")).build(),
            HttpResponse.BodyHandlers.ofString());
    assertThat(response.handle((done, failure) -> failure != null).join()).isTrue();
    assertThat(runs(modelEndpoints)).isEqualTo(1);
  }

  @Test
  void sendsNoRequestToADrainingEndpoint() {
    RunningGateway running = startConfiguredGateway();
    register("draining", plainEndpoints.subList(0, 1));
    await(() -> logged("endpoint_down"));
    for (int i = 0; i < 6; i++) {
      assertThat(get(running, "/safe/x").statusCode()).isEqualTo(200);
    }
    assertThat(plainEndpoints.get(0).runs()).isEmpty();
  }

  @Test
  void cancelsTheEndpointRequestWhenTheCallerDisconnects() {
    RunningGateway running = startConfiguredGateway();
    plainEndpoints.forEach(endpoint -> endpoint.setBehaviour(Behaviour.HANG));
    HttpRequest shortRequest = request(running, "/safe/x").timeout(Duration.ofMillis(300)).build();
    CompletableFuture<Boolean> failed =
        client
            .sendAsync(shortRequest, HttpResponse.BodyHandlers.ofString())
            .handle((done, failure) -> failure != null);
    assertThat(failed.join()).isTrue();
    await(() -> plainEndpoints.stream().mapToInt(EndpointStandIn::abandoned).sum() == 1);
  }

  @Test
  void followsTheStoreAfterAnOutageAndACompaction() {
    RunningGateway running = startConfiguredGateway();
    store.setMode(StoreStandIn.Mode.BUSY);
    await(() -> logged("store_lost"));
    assertThat(get(running, "/safe/x").statusCode()).isEqualTo(200);
    configure(2);
    store.compact(StoreClient.OPERATOR_TOPIC);
    store.setMode(StoreStandIn.Mode.UP);
    await(() -> logged("\"version\":2"));
    assertThat(get(running, "/safe/x").statusCode()).isEqualTo(200);
  }

  @Test
  void servesRequestsWithAndWithoutAnotherHost() {
    RunningGateway first = startConfiguredGateway();
    RunningGateway second = startGateway("host-2", List.of(first.peerAddress()));
    await(second.gateway()::isReady);
    await(() -> first.gateway().readyAddresses().size() == 2);
    await(() -> second.gateway().readyAddresses().size() == 2);
    for (int i = 0; i < 10; i++) {
      assertThat(get(first, "/safe/x").statusCode()).isEqualTo(200);
      assertThat(post(second, "/resumable/x", "p").statusCode()).isEqualTo(200);
    }
    second.gateway().peers().closeSocket();
    for (int i = 0; i < 10; i++) {
      assertThat(get(first, "/safe/x").statusCode()).isEqualTo(200);
      assertThat(post(first, "/resumable/x", "p").statusCode()).isEqualTo(200);
    }
  }

  @Test
  void bootstrapsFromAPeerWhileTheStoreIsUnavailable() {
    RunningGateway first = startConfiguredGateway();
    store.setMode(StoreStandIn.Mode.BUSY);
    RunningGateway second = startGateway("host-2", List.of(first.peerAddress()));
    await(second.gateway()::isReady);
    assertThat(get(second, "/safe/x").statusCode()).isEqualTo(200);
  }

  @Test
  void receivesAConfigurationFromAPeerWhileItsStoreReadHangs() {
    RunningGateway first = startConfiguredGateway();
    await(() -> store.waitingReaders() == 1);
    RunningGateway second = startGateway("host-2", List.of(first.peerAddress()));
    await(second.gateway()::isReady);
    await(() -> second.gateway().readyAddresses().size() == 2);
    await(() -> store.waitingReaders() == 2);
    store.dropNewestReader();
    configure(2);
    await(() -> second.gateway().configurationVersion() == 2);
  }

  @Test
  void receivesADrainingStateThatAnotherHostRead() {
    RunningGateway first = startConfiguredGateway();
    List<RunningGateway> all = new ArrayList<>(List.of(first));
    for (int i = 2; i <= 4; i++) {
      all.add(startGateway("host-" + i, List.of(first.peerAddress())));
    }
    all.forEach(running -> await(running.gateway()::isReady));
    all.forEach(running -> await(() -> running.gateway().readyAddresses().size() == 4));
    register("draining", plainEndpoints.subList(0, 1));
    all.forEach(
        running ->
            await(() -> running.gateway().directory().find(plainEndpoints.get(0).id()) == null));
    for (RunningGateway running : all) {
      assertThat(get(running, "/safe/x").statusCode()).isEqualTo(200);
    }
    assertThat(plainEndpoints.get(0).runs()).isEmpty();
    long reading = all.stream().filter(running -> running.gateway().readsEndpointEntries()).count();
    assertThat(reading).isEqualTo(2);
  }

  @Test
  void isNotReadyButStillServesWhileDraining() {
    RunningGateway running = startConfiguredGateway();
    running.gateway().loop().execute(running.gateway()::drain);
    await(() -> !running.gateway().isReady());
    HttpResponse<String> response = get(running, "/safe/x");
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.headers().firstValue("connection")).hasValue("close");
  }

  @Test
  void logsWhyARequestFailed() {
    RunningGateway running = startConfiguredGateway();
    plainEndpoints.forEach(endpoint -> endpoint.setBehaviour(Behaviour.LOSE_ANSWER));
    assertThat(post(running, "/unsafe/x", "body").statusCode()).isEqualTo(502);
    String id = "\"id\":\"r-" + requestCount + "\"";
    await(() -> logged("\"event\":\"failed\""));
    List<String> requestLines =
        logOutput
            .toString(StandardCharsets.UTF_8)
            .lines()
            .filter(line -> line.contains(id))
            .toList();
    assertThat(requestLines).hasSize(2);
    assertThat(requestLines.get(0))
        .contains("\"event\":\"sent\"", "\"endpoint\":\"p-", "\"left_ms\":");
    assertThat(requestLines.get(1))
        .contains("\"event\":\"failed\"", "\"status\":502", "the connection ended", "\"runs\":1");
  }
}
