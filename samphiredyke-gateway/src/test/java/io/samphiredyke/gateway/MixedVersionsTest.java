package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.Link;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streams of a service whose endpoints run two versions of their software. */
@Timeout(90)
class MixedVersionsTest extends GatewayHarness {

  private final AtomicInteger begunStreams = new AtomicInteger();
  private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: token of (\\S+)\n\n");
  private static final int EVENTS = 5;
  private static final int STREAMS = 24;

  /** Share of the streams that must go on, half of those that begin. */
  private static final double MIN_RESUMED = 0.5;

  /** Response time of endpoints that must be occupied at the same time, in milliseconds. */
  private static final long START_MILLIS = 500;

  /** Time for a refusal that needs no slot. */
  private static final Duration AT_ONCE = Duration.ofSeconds(1);

  private int nextEndpoint = 3;
  private @Nullable Link cutLink;

  /** What a caller received: the events that it has and the versions that they name. */
  private record Received(String requestId, int status, int lastEvent, Set<String> versions) {}

  @BeforeEach
  void setFirstVersion() {
    modelEndpoints.forEach(endpoint -> endpoint.setVersion("v1"));
    register("ready", modelEndpoints);
  }

  private void start(String version, int count) {
    for (int i = 0; i < count; i++) {
      EndpointStandIn endpoint = new EndpointStandIn("m-" + nextEndpoint++, "model", true);
      modelEndpoints.add(endpoint.setVersion(version).start(eventLoops()));
    }
    register("ready", modelEndpoints);
  }

  private void setBehaviour(EndpointStandIn.Behaviour behaviour) {
    modelEndpoints.forEach(endpoint -> endpoint.setBehaviour(behaviour));
  }

  private List<RunningGateway> startGroup(int size) {
    RunningGateway first = startConfiguredGateway();
    List<RunningGateway> group = new ArrayList<>(List.of(first));
    for (int i = 2; i <= size; i++) {
      RunningGateway other = startGateway("host-" + i, List.of(first.peerAddress()));
      await(other.gateway()::isReady);
      group.add(other);
    }
    group.forEach(each -> await(() -> each.gateway().readyAddresses().size() == size));
    return group;
  }

  private Received stream(HttpRequest request) {
    HttpResponse<InputStream> response =
        client.sendAsync(request, HttpResponse.BodyHandlers.ofInputStream()).join();
    String body = readUntilEnd(response.body());
    Set<String> versions = new TreeSet<>();
    int last = 0;
    for (Matcher event = EVENT.matcher(body); event.find(); ) {
      last = Integer.parseInt(event.group(1));
      versions.add(event.group(2));
    }
    String id = request.headers().firstValue("X-Samphiredyke-Request-Id").orElseThrow();
    return new Received(id, response.statusCode(), last, versions);
  }

  /** Sends requests without waiting for the responses of others. */
  private List<Received> streamAtOnce(List<HttpRequest> requests) {
    ExecutorService senders = Executors.newFixedThreadPool(requests.size());
    try {
      return requests.stream()
          .map(request -> CompletableFuture.supplyAsync(() -> stream(request), senders))
          .toList()
          .stream()
          .map(CompletableFuture::join)
          .toList();
    } finally {
      senders.shutdownNow();
    }
  }

  private static String readUntilEnd(InputStream body) {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    try (body) {
      for (int next = body.read(); next >= 0; next = body.read()) {
        received.write(next);
      }
    } catch (IOException e) {
      // The connection was closed within the response; what came before counts.
    }
    return received.toString(StandardCharsets.UTF_8);
  }

  /** Returns a request with a content of its own, as equal ones that break off are quarantined. */
  private HttpRequest newStream(RunningGateway to) {
    String content = "stream " + begunStreams.incrementAndGet();
    return request(to, "/resumable/x").POST(HttpRequest.BodyPublishers.ofString(content)).build();
  }

  private Received takeUp(RunningGateway at, Received begun) {
    return stream(
        request(at, "/resumable/x")
            .header("Last-Event-Id", Integer.toString(begun.lastEvent()))
            .header("Resumes", begun.requestId())
            .POST(HttpRequest.BodyPublishers.noBody())
            .build());
  }

  /** Begins streams that break off after some events, each at the given host. */
  private List<Received> beginAll(RunningGateway host) {
    setBehaviour(EndpointStandIn.Behaviour.BREAK_OFF);
    List<Received> begun = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      Received received = stream(newStream(host));
      if (received.lastEvent() > 0) {
        begun.add(received);
      }
    }
    setBehaviour(EndpointStandIn.Behaviour.SERVE);
    assertThat(begun).hasSizeGreaterThan(STREAMS / 2);
    return begun;
  }

  private void assertResumedAtTheirVersion(RunningGateway at, List<Received> begun) {
    int resumed = 0;
    int joined = 0;
    for (Received first : begun) {
      Received rest = takeUp(at, first);
      Set<String> versions = new TreeSet<>(first.versions());
      versions.addAll(rest.versions());
      joined += versions.size() > 1 ? 1 : 0;
      resumed += rest.lastEvent() == EVENTS ? 1 : 0;
    }
    assertThat(joined).as("streams of two versions").isZero();
    assertThat((double) resumed / begun.size()).isGreaterThanOrEqualTo(MIN_RESUMED);
  }

  @Test
  void streamGoesOnAtItsVersionWithinOneResponse() {
    start("v1", 1);
    start("v1.1", 3);
    for (int i : new int[] {0, 3}) {
      modelEndpoints.get(i).setBehaviour(EndpointStandIn.Behaviour.BREAK_OFF);
    }
    RunningGateway host = startConfiguredGateway();
    List<HttpRequest> requests = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      requests.add(newStream(host));
    }
    // All at once, as many as there are slots, so that the endpoints that break off get some.
    modelEndpoints.forEach(endpoint -> endpoint.setStartMillis(START_MILLIS));
    List<Received> all = streamAtOnce(requests);
    assertThat(all).allMatch(received -> received.versions().size() < 2);
    long complete = all.stream().filter(received -> received.lastEvent() == EVENTS).count();
    assertThat((double) complete / STREAMS).isGreaterThanOrEqualTo(MIN_RESUMED);
    assertThat(modelEndpoints.stream().flatMap(endpoint -> endpoint.runs().stream()))
        .anyMatch(run -> run.headers().containsKey("last-event-id"));
  }

  @Test
  void streamThatIsTakenUpAtAnotherHostGoesOnAtItsVersion() {
    start("v1.1", 2);
    List<RunningGateway> group = startGroup(2);
    assertResumedAtTheirVersion(group.get(1), beginAll(group.get(0)));
  }

  @Test
  void versionOutlivesTheHostThatBeganTheStream() {
    start("v1.1", 2);
    List<RunningGateway> group = startGroup(4);
    List<Received> begun = beginAll(group.get(0));
    group.get(0).gateway().peers().closeSocket();
    assertResumedAtTheirVersion(group.get(1), begun);
  }

  /** Guards against versions that are lost if all hosts are, so that no stream is continued. */
  @Test
  void versionOutlivesAllHosts() {
    start("v1.1", 2);
    List<RunningGateway> group = startGroup(2);
    List<Received> begun = beginAll(group.get(0));
    await(() -> begun.stream().allMatch(each -> store.contains("streams", each.requestId())));
    group.forEach(each -> each.gateway().peers().closeSocket());
    RunningGateway later = startGateway("host-9", List.of());
    await(later.gateway()::isReady);
    assertResumedAtTheirVersion(later, begun);
  }

  /** Guards against an odd record among the archived streams. */
  @Test
  void oddRecordsOfStreamsAreSkipped() {
    start("v1.1", 2);
    for (String odd : List.of("", "null", "{}", "[[1]]", "[".repeat(5_000), "[\"a\",\"b\"]")) {
      store.put("streams", "odd", odd);
    }
    store.put("streams", "host-1", "[[\"begun\",\"model\",\"v1.1\"]]");
    RunningGateway host = startConfiguredGateway();
    Received rest = takeUp(host, new Received("begun", 200, 2, Set.of("v1.1")));
    assertThat(rest.versions()).containsExactly("v1.1");
  }

  /** The second version appears after the streams have begun. */
  @Test
  void versionOfEarlierStreamsIsKnownWhenAnotherOneAppears() {
    List<RunningGateway> group = startGroup(3);
    List<Received> begun = beginAll(group.get(0));
    start("v2", 3);
    group.forEach(each -> await(() -> each.gateway().directory().ofService("model").size() == 5));
    assertResumedAtTheirVersion(group.get(2), begun);
  }

  /** All hosts that knew the streams are replaced before the second version appears. */
  @Test
  void versionOutlivesTheReplacementOfAllHosts() {
    List<RunningGateway> group = startGroup(2);
    List<Received> begun = beginAll(group.get(0));
    RunningGateway later = startGateway("host-9", List.of(group.get(0).peerAddress()));
    await(later.gateway()::isReady);
    await(() -> later.gateway().peers().streams().size() >= begun.size());
    group.forEach(each -> each.gateway().peers().closeSocket());
    start("v2", 3);
    await(() -> later.gateway().directory().ofService("model").size() == 5);
    assertResumedAtTheirVersion(later, begun);
  }

  @Test
  void streamWhoseVersionIsGoneIsRefusedAtOnce() {
    start("v1.1", 2);
    List<RunningGateway> group = startGroup(2);
    Received begun =
        beginAll(group.get(0)).stream()
            .filter(each -> each.versions().contains("v1"))
            .findFirst()
            .orElseThrow();
    register("draining", modelEndpoints.subList(0, 2));
    group.forEach(each -> await(() -> each.gateway().directory().ofService("model").size() == 2));
    long from = System.nanoTime();
    Received rest = takeUp(group.get(1), begun);
    assertThat(rest.status()).isEqualTo(503);
    assertThat(Duration.ofNanos(System.nanoTime() - from)).isLessThan(AT_ONCE);
  }

  @Test
  void streamOfUnknownVersionDoesNotGoOn() {
    start("v1.1", 2);
    RunningGateway host = startConfiguredGateway();
    HttpRequest.Builder unnamed = request(host, "/resumable/x").header("Last-Event-Id", "2");
    assertThat(stream(unnamed.build()).status()).isEqualTo(503);
    for (String id : List.of("unknown", "x".repeat(500), ",;")) {
      assertThat(takeUp(host, new Received(id, 200, 2, Set.of())).status()).isEqualTo(503);
    }
  }

  @Test
  void serviceWithOneVersionNeedsNoRecord() {
    long longAgo = System.currentTimeMillis() - Duration.ofMinutes(10).toMillis();
    modelEndpoints.forEach(endpoint -> endpoint.setStartedAt(longAgo));
    register("ready", modelEndpoints);
    RunningGateway host = startConfiguredGateway();
    Received rest = takeUp(host, new Received("unknown", 200, 2, Set.of()));
    assertThat(rest.lastEvent()).isEqualTo(EVENTS);
  }

  @Override
  String storeAddress() {
    Link link = cutLink;
    return link == null ? super.storeAddress() : "127.0.0.1:" + link.port();
  }

  /**
   * Guards against a host that is cut off while endpoints of a new version join, and continues
   * their streams at the version that it knows.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void hostOutOfStepDoesNotContinueStreamsOfNewEndpoints(boolean isStoreCut) {
    long longAgo = System.currentTimeMillis() - Duration.ofMinutes(10).toMillis();
    modelEndpoints.forEach(endpoint -> endpoint.setStartedAt(longAgo));
    register("ready", modelEndpoints);
    RunningGateway first = startConfiguredGateway();
    Link link =
        new Link(
            eventLoops(),
            SocketAddresses.parse("127.0.0.1:0"),
            SocketAddresses.parse(store.address()));
    cutLink = link;
    RunningGateway cut = startGateway("host-2", List.of(first.peerAddress()));
    await(cut.gateway()::isReady);
    await(() -> cut.gateway().readyAddresses().size() == 2);
    Received known = new Received("unknown", 200, 2, Set.of());
    assertThat(takeUp(cut, known).lastEvent()).as("one version").isEqualTo(EVENTS);
    cut.gateway().peers().closeSocket();
    if (isStoreCut) {
      link.mode(Link.Mode.DROP_ALL);
    }
    start("v2", 2);
    await(() -> first.gateway().directory().ofService("model").size() == 4);
    List<Received> begun =
        beginAll(first).stream().filter(each -> each.versions().contains("v2")).toList();
    assertThat(begun).isNotEmpty();
    for (Received each : begun) {
      Received rest = takeUp(cut, each);
      assertThat(rest.versions()).as("versions that go on").isSubsetOf("v2");
    }
  }
}
