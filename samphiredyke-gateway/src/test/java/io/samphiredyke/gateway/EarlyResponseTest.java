package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.PlatformFixtures;
import io.samphiredyke.platform.standin.RawServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Endpoints that respond before they have read the request, or with what is no response. */
@Timeout(90)
class EarlyResponseTest extends GatewayHarness {

  private static final int REQUESTS = 40;
  private static final int BROKEN_OFF = -1;
  private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
  private static final String PART = "id: 1\ndata: x\n\n";
  private static final String CLOSE = "\r\nConnection: close";
  private static final String HEADERS = "\r\nX-Samphiredyke-Server-Signature: d\r\n";

  private final AtomicInteger heads = new AtomicInteger();
  private RunningGateway running;

  @BeforeEach
  void startGateway() {
    register("draining", modelEndpoints);
    register("draining", plainEndpoints);
    running = startConfiguredGateway();
  }

  @Override
  void configure(int version) {
    String configuration =
        PlatformFixtures.configuration(version, List.of(), List.of(PlatformFixtures.KEY));
    store.put(
        StoreClient.OPERATOR_TOPIC,
        StoreClient.CONFIGURATION_KEY,
        configuration.replace("\"MaxBodyBytes\":4096", "\"MaxBodyBytes\":4194304"));
  }

  private void startEndpoint(String id, String service, RawServer.Script script)
      throws IOException {
    RawServer server =
        RawServer.start(
            (requestId, socket) -> {
              if (!requestId.isEmpty()) {
                heads.incrementAndGet();
                script.respond(requestId, socket);
              }
            },
            RECEIVE_BUFFER_BYTES);
    int before = running.gateway().directory().ofService(service).size();
    store.put(StoreClient.ENDPOINT_TOPIC, id, entry(service, server.address()));
    await(() -> running.gateway().directory().ofService(service).size() == before + 1);
  }

  private static String entry(String service, String address) {
    return String.format(
        Locale.ROOT,
        "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"a\",\"Version\":\"v1\","
            + "\"BatchSlots\":4,\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":1,\"born\":1}",
        service,
        address);
  }

  private static String head(String status, String requestId) {
    return "HTTP/1.1 " + status + " S" + HEADERS + "X-Samphiredyke-Request-Id: " + requestId;
  }

  /**
   * Reads what has arrived, so that a close ends the connection regularly.
   *
   * @return the bytes read, at most the limit and the size of a buffer
   */
  private static int readArrived(Socket socket, int limit) throws IOException {
    InputStream in = socket.getInputStream();
    int read = 0;
    while (in.available() > 0 && read < limit) {
      int arrived = in.available();
      in.skipNBytes(arrived);
      read += arrived;
    }
    return read;
  }

  /** Returns the status of a complete response, or {@link #BROKEN_OFF}. */
  private int send(String path, int bytes) {
    HttpRequest request =
        request(running, path)
            .POST(HttpRequest.BodyPublishers.ofString("x".repeat(bytes)))
            .timeout(Duration.ofSeconds(10))
            .build();
    try {
      return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join().statusCode();
    } catch (CompletionException e) {
      return BROKEN_OFF;
    }
  }

  /** Guards against a part of a response that counts as whole, as the connection ended. */
  @ParameterizedTest
  @CsvSource({
    "plain, /unsafe/x, 3000000",
    "plain, /unsafe/x, 200000",
    "plain, /safe/x, 200000",
    "model, /stream/x, 200000",
    "model, /resumable/x, 3000000"
  })
  void responseThatEndsWithinTheUploadIsNotComplete(String service, String path, int bytes)
      throws IOException {
    startEndpoint(
        "early",
        service,
        (id, socket) -> {
          RawServer.write(socket, head("200", id) + "\r\n\r\n" + PART);
          if (readArrived(socket, bytes / 2) > bytes - 2 * RECEIVE_BUFFER_BYTES) {
            throw new IllegalStateException("the upload was read");
          }
          socket.close();
        });
    int complete = 0;
    for (int i = 0; i < REQUESTS; i++) {
      complete += send(path, bytes) == 200 ? 1 : 0;
    }
    assertThat(heads.get()).isPositive();
    assertThat(complete).isZero();
  }

  /** Guards against sound responses that are held up or lost by the check. */
  @ParameterizedTest
  @ValueSource(ints = {0, 2_000, 200_000})
  void responseWithoutLengthAfterTheUploadIsComplete(int bytes) throws IOException {
    startEndpoint(
        "sound",
        "plain",
        (id, socket) -> {
          // The reader of heads may have read up to 8 KiB of the body.
          for (int read = 0; read < bytes - 9_000; pause(1)) {
            read += readArrived(socket, Integer.MAX_VALUE);
          }
          pause(50);
          readArrived(socket, Integer.MAX_VALUE);
          RawServer.write(socket, head("200", id) + "\r\n\r\nwhole");
          socket.close();
        });
    for (int i = 0; i < 5; i++) {
      assertThat(send("/unsafe/x", bytes)).isEqualTo(200);
    }
  }

  /** Guards against a whole response that is lost to a write that fails behind it. */
  @ParameterizedTest
  @ValueSource(ints = {200_000, 3_000_000})
  void wholeResponseBeforeTheEndOfTheUploadArrives(int bytes) throws IOException {
    startEndpoint(
        "refusing",
        "plain",
        (id, socket) -> {
          RawServer.write(socket, head("413", id) + CLOSE + "\r\nContent-Length: 5\r\n\r\nwhole");
          pause(2);
          readArrived(socket, bytes / 2);
          socket.close();
        });
    int whole = 0;
    for (int i = 0; i < REQUESTS; i++) {
      whole += send("/unsafe/x", bytes) == 413 ? 1 : 0;
    }
    assertThat(whole).isEqualTo(REQUESTS);
  }

  /** Guards against a status that HTTP does not have, as an answer or as an interim response. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "007", "099", "20", "-20", "2x0", "600", "999", "1000", "2000"})
  void statusThatHttpDoesNotHaveIsNoResponse(String status) throws IOException {
    startEndpoint(
        "odd",
        "plain",
        (id, socket) ->
            RawServer.write(socket, head(status, id) + "\r\nContent-Length: 1\r\n\r\nx"));
    long from = System.nanoTime();
    assertThat(send("/unsafe/x", 0)).isEqualTo(502);
    plainEndpoints.forEach(EndpointStandIn::restart);
    register("ready", plainEndpoints);
    await(
        () ->
            running.gateway().directory().ofService("plain").stream()
                    .filter(endpoint -> !endpoint.isDraining())
                    .count()
                == 3);
    assertThat(send("/safe/x", 0)).isEqualTo(200);
    assertThat(Duration.ofNanos(System.nanoTime() - from)).isLessThan(Duration.ofSeconds(3));
  }

  private static void pause(long millis) throws IOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }
}
