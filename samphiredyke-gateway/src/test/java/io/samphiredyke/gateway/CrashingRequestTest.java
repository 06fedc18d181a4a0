package io.samphiredyke.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.EndpointStandIn;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A request that crashes each endpoint that begins to run it and comes again unchanged, among
 * others that come again as often.
 */
@Timeout(90)
class CrashingRequestTest extends GatewayHarness {

  private static final String CRASHING = "crashing";

  /** Crashes after which the request must no longer reach endpoints. */
  private static final int TOLERATED_CRASHES = 3;

  /** Time after the last tolerated crash, {@code Bounds.StableWindowMs}. */
  private static final long SETTLE_NANOS = 3_000_000_000L;

  /** Arrivals at endpoints that are tolerated after that, without limit of time. */
  private static final int TOLERATED_ARRIVALS = 3;

  /** Share of the usual success that other requests must keep. */
  private static final double MIN_SUCCESS = 0.5;

  private static final int SOUND_REQUESTS = 12;
  private static final int PAUSE_MILLIS = 12;
  private static final int RUN_MILLIS = 8_000;

  private final SplittableRandom random = new SplittableRandom(5);
  private final List<EndpointStandIn> endpoints = new ArrayList<>();

  private record Sent(String body, long at, CompletableFuture<HttpResponse<String>> response) {

    int status() {
      return response.handle((value, failure) -> failure == null ? value.statusCode() : 0).join();
    }
  }

  private void startEndpoints(String service) {
    boolean streams = service.equals("model");
    endpoints.addAll(streams ? modelEndpoints : plainEndpoints);
    for (int i = 3; i <= 5; i++) {
      endpoints.add(new EndpointStandIn(service + "-" + i, service, streams).start(eventLoops()));
    }
    for (EndpointStandIn endpoint : endpoints) {
      endpoint.setStartMillis(40);
      endpoint.crashWhen(
          request -> request.body().startsWith(CRASHING),
          () -> register("ready", List.of(endpoint)));
    }
    register("ready", endpoints);
  }

  private List<RunningGateway> startGroup() {
    RunningGateway first = startConfiguredGateway();
    List<RunningGateway> group = new ArrayList<>(List.of(first));
    for (int i = 2; i <= 3; i++) {
      RunningGateway other = startGateway("host-" + i, List.of(first.peerAddress()));
      await(other.gateway()::isReady);
      group.add(other);
    }
    group.forEach(each -> await(() -> each.gateway().readyAddresses().size() == 3));
    return group;
  }

  private Sent send(RunningGateway to, String path, String body) {
    HttpRequest request = request(to, path).POST(HttpRequest.BodyPublishers.ofString(body)).build();
    return new Sent(
        body, System.nanoTime(), client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
  }

  /** Sends the crashing requests and the others at random, each to any of the hosts. */
  private List<Sent> sendFor(
      List<RunningGateway> group, String path, List<String> crashing, long millis) {
    List<String> bodies = new ArrayList<>(crashing);
    for (int i = 0; i < SOUND_REQUESTS; i++) {
      bodies.add("sound " + i);
    }
    List<Sent> sent = new ArrayList<>();
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      RunningGateway to = group.get(random.nextInt(group.size()));
      sent.add(send(to, path, bodies.get(random.nextInt(bodies.size()))));
      pause(PAUSE_MILLIS);
    }
    return sent;
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private List<Long> arrivals(String body) {
    return endpoints.stream()
        .flatMap(endpoint -> endpoint.runs().stream())
        .filter(run -> run.body().equals(body))
        .map(EndpointStandIn.RecordedRequest::arrivedAt)
        .sorted()
        .toList();
  }

  private void assertContained(String body) {
    List<Long> arrivals = arrivals(body);
    assertThat(arrivals).isNotEmpty();
    // An endpoint that another request crashes may end a request before it has counted it.
    if (arrivals.size() < TOLERATED_CRASHES) {
      return;
    }
    long settled = arrivals.get(TOLERATED_CRASHES - 1) + SETTLE_NANOS;
    assertThat(arrivals.stream().filter(at -> at - settled > 0).count())
        .as("arrivals of '%s' later than 3 s after the third", body)
        .isLessThanOrEqualTo(TOLERATED_ARRIVALS);
  }

  private void assertSoundOnesAreServed(List<Sent> sent) {
    List<Sent> sound = sent.stream().filter(each -> !each.body().startsWith(CRASHING)).toList();
    long served = sound.stream().filter(each -> each.status() == 200).count();
    assertThat((double) served / sound.size()).isGreaterThanOrEqualTo(MIN_SUCCESS);
    List<Sent> last = sound.subList(sound.size() * 3 / 4, sound.size());
    for (int i = 0; i < SOUND_REQUESTS; i++) {
      String body = "sound " + i;
      assertThat(last.stream().filter(each -> each.body().equals(body)))
          .as(body)
          .anyMatch(each -> each.status() == 200);
    }
  }

  @Test
  void plainRequestThatCrashesEndpointsReachesNoMoreOfThem() {
    startEndpoints("plain");
    List<Sent> sent = sendFor(startGroup(), "/safe/x", List.of(CRASHING), RUN_MILLIS);
    assertContained(CRASHING);
    assertSoundOnesAreServed(sent);
  }

  @Test
  void requestThatMustNotBeRepeatedReachesNoMoreEndpoints() {
    startEndpoints("plain");
    List<Sent> sent = sendFor(startGroup(), "/unsafe/x", List.of(CRASHING), RUN_MILLIS);
    assertContained(CRASHING);
    assertSoundOnesAreServed(sent);
  }

  @Test
  void streamThatCrashesEndpointsReachesNoMoreOfThem() {
    startEndpoints("model");
    List<Sent> sent = sendFor(startGroup(), "/resumable/x", List.of(CRASHING), RUN_MILLIS);
    assertContained(CRASHING);
    assertSoundOnesAreServed(sent);
  }

  @Test
  void severalRequestsThatCrashEndpointsAreToldApart() {
    startEndpoints("plain");
    List<String> crashing = List.of(CRASHING + " 1", CRASHING + " 2");
    List<Sent> sent = sendFor(startGroup(), "/safe/x", crashing, RUN_MILLIS);
    crashing.forEach(this::assertContained);
    assertSoundOnesAreServed(sent);
  }

  /** A host that starts after all others were lost learns the request from the store. */
  @Test
  void hostThatStartsLaterKnowsTheRequest() {
    startEndpoints("plain");
    sendFor(startGroup(), "/safe/x", List.of(CRASHING), RUN_MILLIS);
    int before = arrivals(CRASHING).size();
    RunningGateway alone = startGateway("host-4", List.of());
    await(alone.gateway()::isReady);
    sendFor(List.of(alone), "/safe/x", List.of(CRASHING), 2_000);
    assertThat(arrivals(CRASHING).size() - before).isZero();
  }

  /**
   * Endpoints that run copies of a sound request lose power together: the request is served again
   * soon, also by a host that starts after all others were lost.
   */
  @Test
  void soundRequestIsServedAgainAfterEndpointsLostPowerTogether() {
    startEndpoints("plain");
    List<RunningGateway> group = startGroup();
    endpoints.forEach(endpoint -> endpoint.setStartMillis(400));
    List<Sent> sent = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      sent.add(send(group.get(i % 3), "/unsafe/x", "popular"));
    }
    await(() -> arrivals("popular").size() == 20);
    endpoints.subList(0, 4).forEach(EndpointStandIn::losePower);
    sent.forEach(Sent::status);
    endpoints.forEach(endpoint -> endpoint.setStartMillis(40));
    pause(SETTLE_NANOS / 1_000_000);
    assertServed(group, "popular");
    RunningGateway later = startGateway("host-4", List.of());
    await(later.gateway()::isReady);
    assertServed(List.of(later), "popular");
  }

  /** Earlier builds quarantine without end; their entries hold until a trial is served. */
  @Test
  void entryOfAnEarlierBuildIsTriedAndReleased() {
    startEndpoints("plain");
    byte[] body = "popular".getBytes(UTF_8);
    RequestFingerprint request = RequestFingerprint.of("customer", "POST", "/unsafe/x", body);
    String key = "request:" + Long.toHexString(request.content()) + ":customer";
    store.put(StoreClient.QUARANTINE_TOPIC, key, "1");
    List<RunningGateway> group = startGroup();
    pause(SETTLE_NANOS / 1_000_000);
    assertServed(group, "popular");
    assertThat(logged("request_released")).isTrue();
  }

  /** At most the first request, a trial, may delay the others. */
  private void assertServed(List<RunningGateway> group, String body) {
    send(group.get(0), "/unsafe/x", body).status();
    for (RunningGateway each : group) {
      assertThat(send(each, "/unsafe/x", body).status()).as(body).isEqualTo(200);
    }
  }

  /** Guards against crashes that nobody knows once the hosts that saw them were replaced. */
  @Test
  void crashesAreKnownAfterEachHostWasReplaced() {
    startEndpoints("plain");
    RunningGateway first = startConfiguredGateway();
    for (int i = 0; i < TOLERATED_CRASHES - 1; i++) {
      send(first, "/unsafe/x", CRASHING).status();
    }
    RunningGateway second = startGateway("host-2", List.of(first.peerAddress()));
    await(() -> second.gateway().isReady() && suspects(second) == 1);
    first.gateway().peers().closeSocket();
    RunningGateway third = startGateway("host-3", List.of(second.peerAddress()));
    await(() -> third.gateway().isReady() && suspects(third) == 1);
    for (int i = 0; i < 12; i++) {
      send(third, "/unsafe/x", CRASHING).status();
      pause(100);
    }
    // The third crash and one trial.
    assertThat(arrivals(CRASHING)).hasSizeBetween(TOLERATED_CRASHES, TOLERATED_CRASHES + 1);
  }

  private static int suspects(RunningGateway host) {
    return host.gateway().peers().crashes().suspectCount();
  }

  /** Each crash is seen by another host, one of which is cut off right after its own. */
  @Test
  void crashesThatDifferentHostsSawAreAddedUp() {
    startEndpoints("plain");
    List<RunningGateway> group = startGroup();
    for (RunningGateway each : group) {
      int before = arrivals(CRASHING).size();
      send(each, "/unsafe/x", CRASHING).status();
      assertThat(arrivals(CRASHING)).hasSize(before + 1);
      pause(500);
    }
    group.get(2).gateway().peers().closeSocket();
    pause(3_500);
    List<RunningGateway> left = group.subList(0, 2);
    for (int i = 0; i < 12; i++) {
      send(left.get(i % 2), "/unsafe/x", CRASHING).status();
      pause(100);
    }
    assertContained(CRASHING);
  }
}
