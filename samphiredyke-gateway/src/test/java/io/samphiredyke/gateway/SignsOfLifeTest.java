package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.standin.KillableEndpoint;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What must not count as a sign that an endpoint's process lives. */
@Timeout(60)
class SignsOfLifeTest extends GatewayHarness {

  private static final String PART = "x".repeat(64 * 1024);
  private static final int MAX_PARTS = 10_000;

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

  /** Returns status and body, or that the response broke off. */
  private String outcome(String path) {
    HttpRequest request = request(running, path).POST(HttpRequest.BodyPublishers.noBody()).build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle(
            (done, failure) -> done == null ? "broken off" : done.statusCode() + " " + done.body())
        .join();
  }

  /** Sends a request and reads only the begin of its response. */
  private Socket beginSlowly() throws IOException {
    String[] address = running.address().split(":");
    Socket slow = new Socket();
    slow.setReceiveBufferSize(16 * 1024);
    slow.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])));
    String head =
        String.join(
            "\r\n",
            "POST /unsafe/x HTTP/1.1",
            "Host: " + running.address(),
            "Authorization: Bearer key",
            "X-Samphiredyke-Request-Id: slow",
            "X-Samphiredyke-Deadline-Ms: 30000",
            "Content-Length: 0",
            "",
            "");
    slow.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    assertThat(slow.getInputStream().readNBytes(12)).asString().isEqualTo("HTTP/1.1 200");
    return slow;
  }

  /**
   * Guards against a connection that isn't read, as its caller is slow, so that its end is not
   * seen.
   */
  @Test
  void connectionThatIsNotReadShowsNoLife() throws Exception {
    AtomicInteger written = new AtomicInteger();
    Queue<KillableEndpoint> self = new ConcurrentLinkedQueue<>();
    self.add(
        start(
            "killed",
            "plain",
            run -> {
              run.beginUnsized();
              if (!run.requestId().equals("slow")) {
                run.write("a wh");
                self.element().kill();
                return;
              }
              while (written.incrementAndGet() < MAX_PARTS) {
                run.write(PART);
              }
            }));
    try (Socket slow = beginSlowly()) {
      for (int last = -1; last != written.get(); TimeUnit.SECONDS.sleep(1)) {
        last = written.get();
      }
      assertThat(written.get()).isBetween(2, MAX_PARTS - 1);
      assertThat(slow.isConnected()).isTrue();
      assertThat(outcome("/unsafe/x")).startsWith("502");
    }
  }
}
