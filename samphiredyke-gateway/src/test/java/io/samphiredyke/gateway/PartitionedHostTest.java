package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.SilentPort;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Hosts that lose the path to all endpoints while callers and the other hosts reach them. */
@Timeout(40)
class PartitionedHostTest extends GatewayHarness {

  private static final int HOSTS = 4;

  /** Time from the cut until the rule holds, {@code StableWindowMs}. */
  private static final int STABLE_MILLIS = 3_000;

  private static final int MEASURED_MILLIS = 1_500;

  /** Time within which a path that is back must be used. */
  private static final int HEALED_MILLIS = 4_000;

  /** Requests that show that a path is used; a stalled connection may deliver a few late ones. */
  private static final int HEALED_REQUESTS = 20;

  /** How often the first tries at hosts without a path must be served, as a part of the others. */
  private static final double MIN_SHARE = 2.0 / 3;

  private static final int TICK_MILLIS = 150;

  /** How long callers wait. */
  private static final String CALLER_MILLIS = "2000";

  /** A request with a path of its kind. */
  private record Sent(
      int host, String id, String path, long at, CompletableFuture<HttpResponse<String>> response) {

    boolean isServed() {
      HttpResponse<String> received = outcome();
      boolean isStream = path.startsWith("/stream/");
      return received != null
          && received.statusCode() == 200
          && (isStream ? received.body().contains("id: 5\n") : received.body().contains("answer"));
    }

    HttpResponse<String> outcome() {
      return response.handle((received, failure) -> received).join();
    }

    String result() {
      HttpResponse<String> received = outcome();
      String status = received == null ? "no response" : String.valueOf(received.statusCode());
      return "host " + host + " " + path + " " + (isServed() ? "served" : status);
    }
  }

  private final SilentPort silentPort = new SilentPort();
  private final List<EndpointCut> cuts = new ArrayList<>();
  private final List<RunningGateway> hosts = new ArrayList<>();
  private final List<Sent> sent = new ArrayList<>();

  @BeforeEach
  void startGroup() {
    configure(1);
    List<EndpointStandIn> endpoints =
        Stream.concat(plainEndpoints.stream(), modelEndpoints.stream()).toList();
    for (int i = 0; i < HOSTS; i++) {
      EndpointCut cut = new EndpointCut(eventLoops(), silentPort, endpoints);
      List<String> seeds = i == 0 ? List.of() : List.of(hosts.get(0).peerAddress());
      cuts.add(cut);
      hosts.add(startGateway("host-" + (i + 1), seeds, cut));
    }
    hosts.forEach(host -> await(() -> host.gateway().readyAddresses().size() == HOSTS));
  }

  @AfterEach
  void closePort() throws IOException {
    silentPort.close();
  }

  private void send(int host, String path) {
    HttpRequest request =
        request(hosts.get(host), path)
            .setHeader("X-Samphiredyke-Deadline-Ms", CALLER_MILLIS)
            .POST(HttpRequest.BodyPublishers.ofString("x"))
            .build();
    sent.add(
        new Sent(
            host,
            "r-" + requestCount,
            path,
            System.nanoTime(),
            client.sendAsync(request, HttpResponse.BodyHandlers.ofString())));
  }

  /** Lets all hosts get requests of each kind for a time; returns when it began. */
  private long sendFor(long millis, int atOnce) {
    long start = System.nanoTime();
    while (System.nanoTime() - start < millis * 1_000_000) {
      sendToAll(atOnce);
    }
    return start;
  }

  private void sendToAll(int atOnce) {
    for (int i = 0; i < HOSTS * atOnce; i++) {
      for (String path : List.of("/unsafe/x", "/safe/x", "/stream/x")) {
        send(i % HOSTS, path);
      }
    }
    pause(TICK_MILLIS);
  }

  /** Sends requests until enough bytes of a host have passed to endpoints. */
  private boolean isUsedAgain(EndpointCut path, int before) {
    long start = System.nanoTime();
    while (System.nanoTime() - start < HEALED_MILLIS * 1_000_000L) {
      sendToAll(1);
      if (path.forwarded() - before >= HEALED_REQUESTS) {
        return true;
      }
    }
    return false;
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private double servedShare(long from, boolean isCut, int without) {
    List<Sent> counted =
        sent.stream().filter(s -> s.at() - from >= 0 && s.host() < without == isCut).toList();
    return counted.stream().filter(Sent::isServed).count() / (double) counted.size();
  }

  private Map<String, Integer> results(long from) {
    Map<String, Integer> results = new TreeMap<>();
    sent.stream()
        .filter(s -> s.at() - from >= 0)
        .forEach(s -> results.merge(s.result(), 1, Integer::sum));
    return results;
  }

  /** Returns the log of the requests that were not served although their host has a path. */
  private String unservedWithPath(long from, int without) {
    Predicate<String> isAbout =
        sent.stream()
            .filter(s -> s.at() - from >= 0 && s.host() >= without && !s.isServed())
            .map(s -> '"' + s.id() + '"')
            .<Predicate<String>>map(id -> line -> line.contains(id))
            .reduce(line -> false, Predicate::or);
    return logOutput
        .toString(StandardCharsets.UTF_8)
        .lines()
        .filter(isAbout)
        .collect(Collectors.joining("\n", "\n", ""));
  }

  private long runs(String requestId) {
    return Stream.concat(plainEndpoints.stream(), modelEndpoints.stream())
        .flatMap(endpoint -> endpoint.runs().stream())
        .filter(run -> run.requestId().equals(requestId))
        .count();
  }

  private List<String> sentTwice() {
    return sent.stream()
        .filter(s -> !s.path().startsWith("/safe/") && runs(s.id()) > 1)
        .map(Sent::result)
        .toList();
  }

  private List<String> refusedThoughRun() {
    return sent.stream()
        .filter(s -> s.outcome() != null)
        .filter(s -> s.outcome().statusCode() == 503 || s.outcome().statusCode() == 429)
        .filter(s -> runs(s.id()) > 0)
        .map(Sent::result)
        .toList();
  }

  /**
   * The seed of the others is cut as well.
   *
   * @param without number of hosts without a path
   * @param atOnce requests of each kind that a host gets at once, from the cut on
   */
  @ParameterizedTest
  @CsvSource({"SILENT, 1, 1", "SILENT, 2, 1", "RESET, 2, 1", "NEW_REFUSED, 2, 3"})
  void requestsAtHostsWithoutPathAreServed(EndpointCut.Kind kind, int without, int atOnce) {
    sendFor(500, 1);
    cuts.subList(0, without).forEach(cut -> cut.cut(kind));
    sendFor(STABLE_MILLIS, atOnce);
    long from = sendFor(MEASURED_MILLIS, atOnce);
    double ofCut = servedShare(from, true, without);
    double ofOthers = servedShare(from, false, without);
    String results = results(from).toString();
    List<Integer> before = cuts.stream().map(EndpointCut::forwarded).toList();
    cuts.forEach(EndpointCut::heal);
    for (int i = 0; i < without; i++) {
      assertThat(isUsedAgain(cuts.get(i), before.get(i))).as("direct path of host " + i).isTrue();
    }
    assertThat(sentTwice()).isEmpty();
    assertThat(refusedThoughRun()).isEmpty();
    assertThat(ofOthers).as(results + unservedWithPath(from, without)).isEqualTo(1);
    assertThat(ofCut).as(results).isGreaterThanOrEqualTo(MIN_SHARE * ofOthers);
  }
}
