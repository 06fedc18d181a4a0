package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.StoreClient;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Streams of endpoints that send their events in a wrong order or break off, byte by byte. */
@Timeout(60)
class StreamOrderTest extends GatewayHarness {

  private static final String BROKEN = "broken off";
  private static final String DRIPPING = "dripping";
  private static final String UNFRAMED = "unframed";
  private static final String RESET = "reset";

  private final List<ServerSocket> servers = new ArrayList<>();
  private final Queue<String> bodies = new ConcurrentLinkedQueue<>();
  private final Queue<String> received = new ConcurrentLinkedQueue<>();
  private RunningGateway running;

  @BeforeEach
  void startEndpoints() throws IOException {
    register("draining", modelEndpoints);
    for (int i = 1; i <= 2; i++) {
      ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
      servers.add(server);
      Thread acceptor = new Thread(() -> acceptAll(server));
      acceptor.setDaemon(true);
      acceptor.start();
      String entry =
          String.format(
              Locale.ROOT,
              "{\"Service\":\"model\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"a\","
                  + "\"Version\":\"v1\",\"BatchSlots\":4,\"State\":\"ready\",\"ColdLeftMs\":0,"
                  + "\"Sequence\":1,\"born\":1}",
              server.getLocalPort());
      store.put(StoreClient.ENDPOINT_TOPIC, "s-" + i, entry);
    }
    running = startConfiguredGateway();
    await(() -> running.gateway().directory().ofService("model").size() == 2);
  }

  @AfterEach
  void stopEndpoints() throws IOException {
    for (ServerSocket server : servers) {
      server.close();
    }
  }

  private void acceptAll(ServerSocket server) {
    try {
      while (true) {
        Socket socket = server.accept();
        Thread serving = new Thread(() -> serve(socket));
        serving.setDaemon(true);
        serving.start();
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  /** Sends the next body and closes the connection; only a body that is ended is complete. */
  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String id = "";
      String after = "";
      boolean isReport = false;
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
        String value = line.substring(line.indexOf(':') + 1).strip();
        id = line.toLowerCase(Locale.ROOT).startsWith("x-samphiredyke-request-id") ? value : id;
        after = line.toLowerCase(Locale.ROOT).startsWith("last-event-id") ? value : after;
        isReport |= line.startsWith("GET /samphiredyke/report ");
      }
      if (isReport) {
        String report = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        socket.getOutputStream().write(report.getBytes(StandardCharsets.US_ASCII));
        return;
      }
      received.add(after);
      String body = bodies.remove();
      if (body.startsWith(UNFRAMED)) {
        sendUnframed(socket, id, body.substring(UNFRAMED.length()));
        return;
      }
      String whole = body.replace(BROKEN, "").replace(DRIPPING, "");
      String text =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Samphiredyke-Request-Id: "
              + id
              + "\r\nX-Samphiredyke-Server-Signature: d\r\n\r\n"
              + (whole.isEmpty() ? "" : Integer.toHexString(whole.length()) + "\r\n" + whole)
              + (whole.isEmpty() ? "" : "\r\n")
              + (body.endsWith(BROKEN) || body.endsWith(DRIPPING) ? "" : "0\r\n\r\n");
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      while (body.endsWith(DRIPPING)) {
        socket.getOutputStream().write("3\r\n:\n\n\r\n".getBytes(StandardCharsets.US_ASCII));
        pause();
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
    }
  }

  /** Sends events without length and chunks, and closes or resets the connection. */
  private static void sendUnframed(Socket socket, String id, String body) throws IOException {
    String head =
        "HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: "
            + id
            + "\r\nX-Samphiredyke-Server-Signature: d\r\n\r\n";
    String text = head + body.replace(RESET, "");
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    if (body.endsWith(RESET)) {
      socket.setSoLinger(true, 0);
      pause();
    }
  }

  private static void pause() {
    try {
      Thread.sleep(20);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String events(int... ids) {
    StringBuilder text = new StringBuilder();
    for (int id : ids) {
      text.append("id: ").append(id).append("\ndata: x\n\n");
    }
    return text.toString();
  }

  /** Returns status and body, or what came before the response broke off. */
  private String stream(HttpRequest.Builder request, String... bodiesToSend) {
    bodies.addAll(List.of(bodiesToSend));
    HttpResponse<InputStream> response =
        client
            .sendAsync(
                request.POST(HttpRequest.BodyPublishers.noBody()).build(),
                HttpResponse.BodyHandlers.ofInputStream())
            .handle((done, failure) -> done)
            .join();
    if (response == null) {
      return "no response";
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    String end = "";
    try (InputStream in = response.body()) {
      for (int next = in.read(); next >= 0; next = in.read()) {
        out.write(next);
      }
    } catch (IOException e) {
      end = BROKEN;
    }
    boolean isStream = response.statusCode() == 200;
    return response.statusCode()
        + " "
        + (isStream ? out.toString(StandardCharsets.UTF_8) : "")
        + end;
  }

  private String resumable(String... bodiesToSend) {
    return stream(request(running, "/resumable/x"), bodiesToSend);
  }

  private String plain(String... bodiesToSend) {
    return stream(request(running, "/stream/x"), bodiesToSend);
  }

  @Test
  void eventThatIsSentTwiceReachesNoCaller() {
    assertThat(resumable(events(1, 2, 2, 3), events(3, 4))).isEqualTo("200 " + events(1, 2, 3, 4));
    assertThat(received).containsExactly("", "2");
    assertThat(plain(events(1, 2, 2, 3))).isEqualTo("200 " + events(1, 2) + BROKEN);
    await(() -> logged("\"reason\":\"a repeated event\",\"expected_event\":3,\"event_id\":2"));
  }

  @Test
  void earlierEventReachesNoCaller() {
    assertThat(resumable(events(1, 2, 3, 1), events(4))).isEqualTo("200 " + events(1, 2, 3, 4));
    assertThat(plain(events(1, 2, 3, 1))).isEqualTo("200 " + events(1, 2, 3) + BROKEN);
  }

  @Test
  void gapAfterAResumptionReachesNoCaller() {
    assertThat(resumable(events(1, 2) + BROKEN, events(4, 5)))
        .isEqualTo("200 " + events(1, 2) + BROKEN);
  }

  @Test
  void jumpWithinAnAttemptIsSound() {
    assertThat(plain(events(0, 1, 6, 90))).isEqualTo("200 " + events(0, 1, 6, 90));
  }

  @Test
  void idThatIsNoNumberReachesNoCaller() {
    String odd = "id: x\ndata: x\n\n";
    assertThat(resumable(events(1, 2) + odd, events(3))).isEqualTo("200 " + events(1, 2, 3));
  }

  @Test
  void takeUpThatRepeatsAnEventReachesNoCaller() {
    HttpRequest.Builder takeUp =
        request(running, "/resumable/x").header("Last-Event-Id", "3").header("Resumes", "r-0");
    store.put("streams", "host-0", "[[\"r-0\",\"model\",\"v1\"]]");
    assertThat(stream(takeUp, events(3, 4), events(4, 5))).isEqualTo("200 " + events(4, 5));
  }

  @Test
  void eventWithoutEndIsBounded() {
    assertThat(plain(events(1) + "data: " + "x".repeat(1_000_000)))
        .isEqualTo("200 " + events(1) + BROKEN);
    await(() -> logged("an event above the permitted size"));
  }

  /** Guards against a connection that is closed although the caller could get a response. */
  @Test
  void streamThatBreaksOffBeforeItsFirstEventIsTriedAgain() {
    assertThat(resumable(BROKEN, events(1, 2))).isEqualTo("200 " + events(1, 2));
    assertThat(resumable("id: 1\ndat" + BROKEN, events(1, 2))).isEqualTo("200 " + events(1, 2));
    assertThat(received).containsOnly("");
    await(() -> logged("\"response\":\"head\""));
  }

  @Test
  void streamThatCannotBeTriedAgainIsAnsweredBeforeItsFirstEvent() {
    assertThat(plain(BROKEN)).isEqualTo("502 ");
    assertThat(plain("id: 1\ndata: x\n" + BROKEN)).isEqualTo("502 ");
    assertThat(resumable(BROKEN, BROKEN)).isEqualTo("502 ");
  }

  @Test
  void regularEndWithoutEventsIsComplete() {
    assertThat(plain("")).isEqualTo("200 ");
    assertThat(resumable(events(1, 2) + BROKEN, "")).isEqualTo("200 " + events(1, 2));
  }

  /** Guards against an endpoint that responds without end and never sends an event. */
  @Test
  void headWithoutEventIsBounded() {
    String comments = ": comment\n\n".repeat(100_000);
    assertThat(resumable(comments, events(1))).isEqualTo("200 " + events(1));
    assertThat(resumable(DRIPPING, events(1))).isEqualTo("200 " + events(1));
  }

  @Test
  void streamThatEndsWithItsConnectionIsCompleteUnlessItIsReset() {
    assertThat(plain(UNFRAMED + events(1, 2))).isEqualTo("200 " + events(1, 2));
    await(() -> logged("\"end\":\"connection\""));
    assertThat(plain(UNFRAMED + events(1, 2) + RESET)).endsWith(BROKEN);
    assertThat(resumable(UNFRAMED + events(1, 2) + RESET, UNFRAMED + events(3)))
        .isEqualTo("200 " + events(1, 2, 3));
  }

  /** Guards against a stream of a killed endpoint that looks complete. */
  @Test
  void streamThatEndsWithItsConnectionIsContinuedWhereTheRoutePermits() {
    String begun = UNFRAMED + events(1, 2);
    assertThat(resumable(begun, events(3))).isEqualTo("200 " + events(1, 2, 3));
    assertThat(received).containsExactly("", "2");
    assertThat(resumable(begun, "")).isEqualTo("200 " + events(1, 2));
    assertThat(resumable(begun, BROKEN)).isEqualTo("200 " + events(1, 2));
    assertThat(resumable(begun, events(3) + BROKEN)).isEqualTo("200 " + events(1, 2, 3) + BROKEN);
    assertThat(resumable(begun, "id: 3\nda" + BROKEN)).isEqualTo("200 " + events(1, 2) + BROKEN);
    assertThat(resumable(begun, events(4))).isEqualTo("200 " + events(1, 2) + BROKEN);
  }

  /** Guards against the empty stream of a killed endpoint, and against a request without end. */
  @Test
  void streamThatEndsWithItsConnectionBeforeItsFirstEventIsNotComplete() {
    assertThat(resumable(UNFRAMED, events(1))).isEqualTo("200 " + events(1));
    assertThat(plain(UNFRAMED)).isEqualTo("502 ");
    HttpRequest.Builder takeUp =
        request(running, "/resumable/x").header("Last-Event-Id", "3").header("Resumes", "r-0");
    store.put("streams", "host-0", "[[\"r-0\",\"model\",\"v1\"]]");
    assertThat(stream(takeUp, UNFRAMED, BROKEN)).isEqualTo("502 ");
  }
}
