package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.RawServer;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Endpoints that send other responses within the body of one, as callers see it. */
@Timeout(60)
class ForeignBytesInBodiesTest extends GatewayHarness {

  private static final String UNSIZED =
      "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: {id}\r\n"
          + "X-Samphiredyke-Server-Signature: d\r\n\r\n";
  private static final String BODY = "the body of the response";

  /** Marks the end of a response, at which the endpoint closes the connection. */
  private static final String CLOSE = "!";

  /** Longer than what is buffered, so that the response has begun when the head is found. */
  private static final int LONG_BODY = 700_000;

  private final Queue<String> responses = new ConcurrentLinkedQueue<>();
  private final AtomicInteger sent = new AtomicInteger();
  private RunningGateway running;

  @BeforeEach
  void startEndpoints() throws IOException {
    register("draining", plainEndpoints);
    for (String id : List.of("plain-1", "plain-2")) {
      String entry =
          String.format(
              Locale.ROOT,
              "{\"Service\":\"plain\",\"Address\":\"%s\",\"Zone\":\"a\",\"Version\":\"v1\","
                  + "\"BatchSlots\":4,\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":1,"
                  + "\"born\":1}",
              RawServer.start(this::respond).address());
      store.put(StoreClient.ENDPOINT_TOPIC, id, entry);
    }
    running = startConfiguredGateway();
    await(() -> running.gateway().directory().ofService("plain").size() == 2);
  }

  private void respond(String id, Socket socket) throws IOException {
    sent.incrementAndGet();
    String text = responses.remove().replace("{id}", id);
    RawServer.write(socket, text.replace(CLOSE, ""));
    if (text.endsWith(CLOSE)) {
      socket.close();
    }
  }

  /** Returns status and body of a success, the status of a failure, or that it broke off. */
  private String outcome(String path, String... toSend) {
    responses.clear();
    responses.addAll(List.of(toSend));
    HttpRequest request = request(running, path).POST(HttpRequest.BodyPublishers.noBody()).build();
    HttpResponse<String> response =
        client
            .sendAsync(request, HttpResponse.BodyHandlers.ofString())
            .handle((done, failure) -> done)
            .join();
    if (response == null) {
      return "broken off";
    }
    boolean isSuccess = response.statusCode() == 200;
    return isSuccess ? response.body() : String.valueOf(response.statusCode());
  }

  /** Guards against a caller that gets a body with a part of its own second copy. */
  @ParameterizedTest
  @ValueSource(ints = {6, 15, 40, 60, 120})
  void bodyWithAPartOfItsCopyReachesNoCaller(int copied) {
    String whole = UNSIZED + BODY;
    String joined = whole + whole.substring(0, Math.min(copied, whole.length() - 1)) + CLOSE;
    assertThat(outcome("/safe/x", joined, whole + CLOSE)).isEqualTo(BODY);
    assertThat(outcome("/unsafe/x", joined)).isEqualTo("502");
    await(() -> logged("\"event\":\"foreign_bytes\",\"id\":\"r-2\""));
    assertThat(sent).hasValue(3);
  }

  @Test
  void bodyBeforeAWholeCopyIsServed() {
    String whole = UNSIZED + BODY;
    assertThat(outcome("/unsafe/x", whole + whole + CLOSE)).isEqualTo(BODY);
    await(() -> logged("\"reason\":\"a whole copy of itself\""));
  }

  /** Guards against the copy of an earlier response that a later body takes up. */
  @Test
  void bodyWithALateCopyReachesNoCaller() {
    String earlier = "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: %s\r\n";
    String sized = earlier + "X-Samphiredyke-Server-Signature: d\r\nContent-Length: 1\r\n\r\nx";
    String first = sized.replace("%s", "{id}");
    assertThat(outcome("/unsafe/x", first)).isEqualTo("x");
    String late = sized.replace("%s", "r-1");
    assertThat(outcome("/unsafe/x", UNSIZED + "the bo" + late + "dy" + CLOSE)).isEqualTo("502");
    await(() -> logged("\"position\":6,\"stated_id\":\"r-1\""));
  }

  @Test
  void responseThatHasBegunBreaksOff() {
    String body = "x".repeat(LONG_BODY);
    assertThat(outcome("/unsafe/x", UNSIZED + body + CLOSE)).isEqualTo(body);
    assertThat(outcome("/unsafe/x", UNSIZED + body + UNSIZED + "y" + CLOSE))
        .isEqualTo("broken off");
  }

  @Test
  void bodyThatSpeaksOfHttpIsPassedOn() {
    String sound = BODY + "\r\nHTTP/1.1 200 OK\r\nServer: x\r\n\r\nHTTP/1.1 40";
    assertThat(outcome("/safe/x", UNSIZED + sound + CLOSE)).isEqualTo(sound);
    assertThat(outcome("/unsafe/x", UNSIZED + sound + CLOSE)).isEqualTo(sound);
  }
}
