package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.standin.KillableEndpoint;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses without length of endpoints that are killed, and of sound ones. */
@Timeout(60)
class UnsizedResponseTest extends GatewayHarness {

  private static final String BROKEN = " broken off";
  private static final String WHOLE = "a whole body";
  private static final String EVENTS = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";
  private static final String LAST_EVENT = "id: 3\ndata: x\n\n";

  private final Queue<KillableEndpoint> killed = new ConcurrentLinkedQueue<>();
  private RunningGateway running;

  @BeforeEach
  void startGateway() {
    register("draining", modelEndpoints);
    register("draining", plainEndpoints);
    running = startConfiguredGateway();
  }

  private KillableEndpoint start(String id, String service, KillableEndpoint.Script script)
      throws IOException {
    int before = running.gateway().directory().ofService(service).size();
    KillableEndpoint started = KillableEndpoint.start(id, service, script).register(store);
    await(() -> running.gateway().directory().ofService(service).size() == before + 1);
    return started;
  }

  /** Starts an endpoint that is killed after it has sent a part of a response without length. */
  private KillableEndpoint startKilled(String service, String part) throws IOException {
    KillableEndpoint started =
        start(
            "killed",
            service,
            run -> {
              run.beginUnsized().write(part);
              killed.remove().kill();
            });
    killed.add(started);
    return started;
  }

  /** Starts an endpoint that sends sound responses without length. */
  private KillableEndpoint startSound(String service) throws IOException {
    return start(
        "sound",
        service,
        run -> run.sendUnsized(service.equals("plain") ? WHOLE : EVENTS + LAST_EVENT));
  }

  private CompletableFuture<HttpResponse<InputStream>> begin(String path) {
    HttpRequest request = request(running, path).POST(HttpRequest.BodyPublishers.noBody()).build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofInputStream());
  }

  private static String rest(CompletableFuture<HttpResponse<InputStream>> begun) {
    HttpResponse<InputStream> response = begun.join();
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    String end = "";
    try (InputStream in = response.body()) {
      for (int next = in.read(); next >= 0; next = in.read()) {
        out.write(next);
      }
    } catch (IOException e) {
      end = BROKEN;
    }
    boolean isSuccess = response.statusCode() == 200;
    return response.statusCode()
        + (isSuccess ? " " + out.toString(StandardCharsets.UTF_8) : "")
        + end;
  }

  /** Returns status and body, or what came before the response broke off. */
  private String outcome(String path) {
    return rest(begin(path));
  }

  @Test
  void unsafeResponseOfKilledEndpointIsNotComplete() throws IOException {
    startKilled("plain", "a wh");
    assertThat(outcome("/unsafe/x")).isEqualTo("502");
    await(() -> logged("\"verdict\":\"GONE\""));
    await(() -> logged("\"event\":\"request_suspected\""));
  }

  /** Guards against a long response, which is relayed before its end. */
  @Test
  void longResponseOfKilledEndpointBreaksOff() throws IOException {
    String part = "x".repeat(600_000);
    startKilled("plain", part);
    assertThat(outcome("/unsafe/x")).matches("200 x*" + BROKEN);
  }

  /** Starts an endpoint that is killed within a response when another one can be used. */
  private KillableEndpoint startKilledBesideAnother(String service, String part)
      throws IOException {
    KillableEndpoint started =
        start(
            "killed",
            service,
            run -> {
              run.beginUnsized().write(part);
              await(() -> running.gateway().directory().ofService(service).size() == 2);
              killed.remove().kill();
            });
    killed.add(started);
    return started;
  }

  @Test
  void safeResponseOfKilledEndpointIsRepeated() throws IOException {
    KillableEndpoint first = startKilledBesideAnother("plain", "a wh");
    CompletableFuture<HttpResponse<InputStream>> begun = begin("/safe/x");
    await(() -> first.runs() == 1);
    startSound("plain");
    assertThat(rest(begun)).isEqualTo("200 " + WHOLE);
  }

  @Test
  void streamOfKilledEndpointBreaksOff() throws IOException {
    startKilled("model", EVENTS);
    assertThat(outcome("/stream/x")).isEqualTo("200 " + EVENTS + BROKEN);
  }

  /** Guards against a stream that counts as complete because nobody continues it. */
  @Test
  void resumableStreamOfKilledEndpointThatNobodyContinuesBreaksOff() throws IOException {
    startKilled("model", EVENTS);
    assertThat(outcome("/resumable/x")).isEqualTo("200 " + EVENTS + BROKEN);
  }

  @Test
  void resumableStreamOfKilledEndpointGoesOnElsewhere() throws IOException {
    KillableEndpoint first = startKilledBesideAnother("model", EVENTS);
    CompletableFuture<HttpResponse<InputStream>> begun = begin("/resumable/x");
    await(() -> first.runs() == 1);
    start("sound", "model", run -> run.sendSized(run.after().equals("2") ? LAST_EVENT : EVENTS));
    assertThat(rest(begun)).isEqualTo("200 " + EVENTS + LAST_EVENT);
  }

  @ParameterizedTest
  @CsvSource({"/safe/x,plain", "/unsafe/x,plain", "/stream/x,model", "/resumable/x,model"})
  void soundResponseIsServedWhateverIsAnswered(String path, String service) throws IOException {
    KillableEndpoint sound = startSound(service);
    String whole = "200 " + (service.equals("plain") ? WHOLE : EVENTS + LAST_EVENT);
    for (int status : new int[] {200, 400, 404, 500, 503}) {
      sound.onReport(
          (socket, number) -> KillableEndpoint.respond(socket, status, "{\"born\":1,\"Busy\":1}"));
      assertThat(outcome(path)).as("status %d", status).isEqualTo(whole);
    }
    sound.onReport(
        (socket, number) -> {
          socket.getOutputStream().write("no HTTP\r\n".getBytes(StandardCharsets.US_ASCII));
          socket.close();
        });
    assertThat(outcome(path)).isEqualTo(whole);
    assertThat(sound.reports()).isGreaterThanOrEqualTo(6);
  }

  @Test
  void soundResponseIsServedIfTheAnswerIsLate() throws IOException {
    startSound("plain")
        .onReport(
            (socket, number) -> {
              pause(1_200);
              KillableEndpoint.respond(socket, 200, "{}");
            });
    assertThat(outcome("/unsafe/x")).isEqualTo("200 " + WHOLE);
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Guards against a sound endpoint that counts as gone because it drops idle connections. */
  @Test
  void soundResponseIsServedIfKeptConnectionsAreDropped() throws IOException {
    CountDownLatch ends = new CountDownLatch(1);
    KillableEndpoint sound =
        start(
            "sound",
            "plain",
            run -> {
              if (ends.getCount() == 1) {
                run.sendSized(WHOLE);
                return;
              }
              run.sendUnsized(WHOLE);
            });
    CompletableFuture<HttpResponse<InputStream>> first = begin("/unsafe/x");
    CompletableFuture<HttpResponse<InputStream>> second = begin("/unsafe/x");
    assertThat(rest(first)).isEqualTo("200 " + WHOLE);
    assertThat(rest(second)).isEqualTo("200 " + WHOLE);
    ends.countDown();
    sound.onReport(
        (socket, number) -> {
          if (number > 1) {
            socket.close();
          } else {
            KillableEndpoint.respond(socket, 200, "{}");
          }
        });
    assertThat(outcome("/unsafe/x")).isEqualTo("200 " + WHOLE);
  }

  @Test
  void soundResponseIsServedIfFewConnectionsAreReset() throws IOException {
    Queue<KillableEndpoint> self = new ConcurrentLinkedQueue<>();
    KillableEndpoint sound =
        start(
            "sound",
            "plain",
            run -> {
              self.element().resetNewConnections(2);
              run.sendUnsized(WHOLE);
            });
    self.add(sound);
    assertThat(outcome("/unsafe/x")).isEqualTo("200 " + WHOLE);
    assertThat(sound.reports()).isEqualTo(1);
  }

  /** An endpoint at its limit resets new connections, and serves those that are open. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void soundResponseIsServedWhileOtherConnectionsLive(boolean isListening) throws Exception {
    CountDownLatch isLongRunning = new CountDownLatch(1);
    CountDownLatch longMayEnd = new CountDownLatch(1);
    Queue<KillableEndpoint> self = new ConcurrentLinkedQueue<>();
    KillableEndpoint sound =
        start(
            "sound",
            "plain",
            run -> {
              if (isLongRunning.getCount() > 0) {
                isLongRunning.countDown();
                awaitLatch(longMayEnd);
                run.sendSized(WHOLE);
              } else {
                KillableEndpoint endpoint = self.element();
                endpoint.resetNewConnections(1_000);
                if (!isListening) {
                  endpoint.closeListener();
                }
                run.sendUnsized(WHOLE);
              }
            });
    self.add(sound);
    CompletableFuture<HttpResponse<InputStream>> longer = begin("/unsafe/x");
    awaitLatch(isLongRunning);
    assertThat(outcome("/unsafe/x")).isEqualTo("200 " + WHOLE);
    longMayEnd.countDown();
    assertThat(rest(longer)).isEqualTo("200 " + WHOLE);
  }

  private static void awaitLatch(CountDownLatch latch) {
    try {
      assertThat(latch.await(20, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Guards against the next start at the same address that answers for a killed process. */
  @Test
  void responseIsNotCompleteIfAnotherProcessAnswers() throws IOException {
    KillableEndpoint other = startSound("plain");
    other.onReport((socket, number) -> KillableEndpoint.respond(socket, 421, ""));
    assertThat(outcome("/unsafe/x")).isEqualTo("502");
    other.onReport((socket, number) -> KillableEndpoint.respond(socket, 200, "{\"born\":2}"));
    assertThat(outcome("/unsafe/x")).isEqualTo("502");
  }

  @Test
  void responseIsNotCompleteIfNothingAnswersForLongerThanASoundEndpointIsSilent()
      throws IOException {
    startSound("plain").onReport((socket, number) -> pause(10_000));
    long start = System.nanoTime();
    assertThat(outcome("/unsafe/x")).isEqualTo("502");
    assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(4));
    await(() -> logged("\"verdict\":\"UNKNOWN\""));
    assertThat(logged("\"event\":\"request_suspected\"")).isFalse();
  }

  /** Guards against a path that breaks without a sign: the deadline ends the response. */
  @Test
  void responseThatFallsSilentEndsAtItsDeadline() throws IOException {
    KillableEndpoint silent =
        start(
            "silent",
            "plain",
            run -> {
              run.beginUnsized().write("a wh");
              pause(10_000);
            });
    requestCount++;
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + running.address() + "/unsafe/x"))
            .header("Authorization", "Bearer key")
            .header("X-Samphiredyke-Request-Id", "r-" + requestCount)
            .header("X-Samphiredyke-Deadline-Ms", "1500")
            .build();
    assertThat(rest(client.sendAsync(request, HttpResponse.BodyHandlers.ofInputStream())))
        .isEqualTo("504");
    assertThat(silent.reports()).isZero();
  }

  /** Guards against questions that pile up at an endpoint that is silent. */
  @Test
  void endsAtTheSameTimeShareOneQuestion() throws IOException {
    KillableEndpoint sound = startSound("plain");
    sound.onReport(
        (socket, number) -> {
          pause(700);
          KillableEndpoint.respond(socket, 200, "{}");
        });
    for (CompletableFuture<HttpResponse<InputStream>> each :
        List.of(begin("/unsafe/x"), begin("/unsafe/x"), begin("/unsafe/x"))) {
      assertThat(rest(each)).isEqualTo("200 " + WHOLE);
    }
    assertThat(sound.reports()).isLessThanOrEqualTo(2);
  }

  /** Guards against a question that costs responses with a length a round trip. */
  @Test
  void responsesWithLengthOrWithoutBodyAreNotAsked() throws IOException {
    Queue<String> bodies = new ConcurrentLinkedQueue<>(List.of(WHOLE));
    KillableEndpoint sized =
        start(
            "sized",
            "plain",
            run -> {
              if (bodies.isEmpty()) {
                run.beginUnsized();
              } else {
                run.sendSized(bodies.remove());
              }
            });
    assertThat(outcome("/unsafe/x")).isEqualTo("200 " + WHOLE);
    HttpRequest head =
        request(running, "/unsafe/x").method("HEAD", HttpRequest.BodyPublishers.noBody()).build();
    assertThat(send(head).statusCode()).isEqualTo(200);
    assertThat(sized.reports()).isZero();
  }
}
