package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.RawServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
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

/** Responses that break off and whose next endpoint responds with an error, byte by byte. */
@Timeout(60)
class StreamContinuationTest extends GatewayHarness {

  private static final String ID = "X-Samphiredyke-Request-Id: {id}\r\n";
  private static final String OWN = ID + "X-Samphiredyke-Server-Signature: d\r\n";
  private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";
  private static final String NOT_RUN = "X-Samphiredyke-Not-Executed: 1\r\n";
  private static final String OK = "HTTP/1.1 200 OK\r\n" + OWN;
  private static final String STREAM = OK + EVENT_STREAM;
  private static final String FAILED = "HTTP/1.1 500 Internal Server Error\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  /** Where the endpoint waits before it sends the rest. */
  private static final char PAUSE = '|';

  private static final char CLOSE = '!';
  private static final char RESET = '~';

  /** Groups of errors, each of which has the retry budget of a gateway of its own. */
  private static final int GROUPS = 5;

  private static final String BEGUN = STREAM + CHUNKED + chunk(events(1, 2)) + CLOSE;

  private final Queue<String> responses = new ConcurrentLinkedQueue<>();
  private final AtomicInteger sent = new AtomicInteger();
  private RunningGateway running;

  @BeforeEach
  void startEndpoints() throws IOException {
    register("draining", modelEndpoints);
    register("draining", plainEndpoints);
    for (String id : List.of("model-1", "model-2", "plain-1", "plain-2")) {
      RawServer server = RawServer.start(this::respond);
      String service = id.substring(0, id.indexOf('-'));
      String entry =
          String.format(
              Locale.ROOT,
              "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"a\",\"Version\":\"v1\","
                  + "\"BatchSlots\":4,\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":1,"
                  + "\"born\":1}",
              service,
              server.address());
      store.put(StoreClient.ENDPOINT_TOPIC, id, entry);
    }
    running = startConfiguredGateway();
    await(() -> running.gateway().directory().ofService("model").size() == 2);
    await(() -> running.gateway().directory().ofService("plain").size() == 2);
  }

  /** Sends the next response; the last one is sent again for each further request. */
  private void respond(String id, Socket socket) throws IOException {
    sent.incrementAndGet();
    String text = responses.size() > 1 ? responses.remove() : responses.element();
    for (String part : text.replace("{id}", id).split("(?<=[|])")) {
      RawServer.write(socket, part.replaceAll("[|!~]", ""));
      pauseIf(part.indexOf(PAUSE) >= 0);
    }
    if (text.indexOf(RESET) >= 0) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
    if (text.indexOf(CLOSE) >= 0) {
      socket.close();
    }
  }

  private static void pauseIf(boolean pauses) {
    try {
      Thread.sleep(pauses ? 30 : 0);
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

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String sized(String body) {
    return "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Returns all bytes after the head of a success, to the last chunk or the end. */
  private String body(String path, String... toSend) throws IOException {
    String response = response(path, toSend);
    assertThat(response).startsWith("HTTP/1.1 200 OK\r\n");
    return response.substring(response.indexOf("\r\n\r\n") + 4);
  }

  private String response(String path, String... toSend) throws IOException {
    responses.clear();
    responses.addAll(List.of(toSend));
    requestCount++;
    String[] address = running.address().split(":");
    try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
      socket.setSoTimeout(10_000);
      RawServer.write(
          socket,
          "POST "
              + path
              + " HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer key\r\n"
              + "X-Samphiredyke-Request-Id: r-"
              + requestCount
              + "\r\nX-Samphiredyke-Deadline-Ms: 8000\r\n"
              + "Connection: close\r\nContent-Length: 0\r\n\r\n");
      StringBuilder text = new StringBuilder();
      InputStream in = socket.getInputStream();
      for (int next = in.read(); next >= 0; next = in.read()) {
        text.append((char) next);
        if (text.toString().endsWith("\r\n" + LAST_CHUNK)) {
          break;
        }
      }
      return text.toString();
    }
  }

  /** Errors that an endpoint may send in place of the events after the second one. */
  private static List<String> errors() {
    String text = "{\"error\":\"failed\"}";
    String head = FAILED + ID;
    List<String> errors = new ArrayList<>();
    for (String status : List.of("302 F", "304 F", "400 F", "404 F", "429 F", "500 F", "503 F")) {
      errors.add("HTTP/1.1 " + status + "\r\n" + ID + sized(status.startsWith("304") ? "" : text));
      errors.add("HTTP/1.1 " + status + "\r\n" + ID + NOT_RUN + "Content-Length: 0\r\n\r\n");
      errors.add("HTTP/1.1 " + status + "\r\n" + NOT_RUN + "Content-Length: 0\r\n\r\n");
    }
    errors.add(head + CHUNKED + chunk(text) + LAST_CHUNK);
    errors.add(head + "\r\n" + text + CLOSE);
    errors.add(head + sized(""));
    errors.add(head + "X-Samphiredyke-Server-Signature: d\r\n" + sized(text));
    errors.add(FAILED + EVENT_STREAM + OWN + sized(events(3, 4)));
    errors.add(head + EVENT_STREAM + sized(events(3, 4)));
    errors.add(head + "Content-Encoding: gzip\r\n" + sized(text));
    errors.add("HTTP/1.1 50|0 Internal Server Error\r|\n" + ID + "Content-|Length: 3\r\n\r\nab|c");
    errors.add(FAILED + sized(text));
    errors.add("HTTP/1.1 421 Misdirected\r\n" + ID + sized(text));
    errors.add("HTTP/1.1 204 No Content\r\n" + ID + "\r\n");
    errors.add("HTTP/1.1 200 OK\r\n" + ID + EVENT_STREAM + sized(events(3, 4)));
    errors.add(OK + EVENT_STREAM + "Content-Encoding: gzip\r\n" + sized(events(3, 4)));
    errors.add(OK + EVENT_STREAM + sized(text));
    errors.add(OK + EVENT_STREAM + sized("data: " + text + "\n\n"));
    errors.add(head + "Content-Length: 90\r\n\r\n" + text + CLOSE);
    errors.add(FAILED + "X-Samphiredyke-Request-Id: {id}" + CLOSE);
    errors.add(STREAM + CLOSE);
    errors.add("HTTP/1.1 200 O" + CLOSE);
    errors.add(STREAM + sized(text + "\n\n"));
    errors.add(STREAM + sized("<html>\nfailed\n</html>\n\n"));
    errors.add(OK + "Content-Type: application/json\r\n" + sized(text + "\n\n"));
    errors.add(OK + "Content-Type: application/json; charset=utf-8\r\n" + sized(""));
    errors.add(OK + "Content-Type: text/html\r\n" + sized(events(3, 4)));
    return errors;
  }

  /** Guards against the text of an error, or the end of the stream, in place of the rest. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 4})
  void errorInPlaceOfTheRestOfAStreamBreaksItOff(int group) throws IOException {
    List<String> wrong = new ArrayList<>();
    List<String> errors = errors();
    for (int i = group; i < errors.size(); i += GROUPS) {
      sent.set(0);
      String body = body("/resumable/x", BEGUN, errors.get(i));
      if (sent.get() < 2 || !body.equals(chunk(events(1, 2)))) {
        wrong.add(sent + " responses, " + errors.get(i) + " is passed on as " + body);
      }
    }
    assertThat(wrong).isEmpty();
  }

  /** Guards against a body that goes on with another response after its end was cut off. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "id: 3\ndata: to",
        "id: 3\ndata: tok\n",
        "data: to",
      })
  void headOfAnotherResponseIsNoPartOfAStream(String cutEvent) throws IOException {
    String error = FAILED + "Date: now\r\nContent-Length: 60\r\n\r\n" + "{\"error\":1}\n\n";
    String filled = (events(1, 2) + cutEvent + error + events(90).repeat(30)).substring(0, 300);
    for (String begun : List.of(STREAM + sized(filled), STREAM + CHUNKED + chunk(filled))) {
      assertThat(body("/resumable/x", begun, STREAM + sized(events(3))))
          .isEqualTo(chunk(events(1, 2)) + chunk(events(3)) + LAST_CHUNK);
      assertThat(body("/stream/x", begun)).isEqualTo(chunk(events(1, 2)));
    }
  }

  /** Guards against an event whose id is lost to the begin of a copy on the same line. */
  @ParameterizedTest
  @ValueSource(strings = {"H", "HTTP", "HTTP/1", "HTTP/1.1 20"})
  void eventBehindTheBeginOfACopyReachesNoCaller(String cut) throws IOException {
    String joined = STREAM + CHUNKED + chunk(events(1, 2) + cut + events(3)) + LAST_CHUNK;
    assertThat(body("/resumable/x", joined, STREAM + sized(events(3))))
        .isEqualTo(chunk(events(1, 2)) + chunk(events(3)) + LAST_CHUNK);
    assertThat(body("/stream/x", joined)).isEqualTo(chunk(events(1, 2)));
  }

  /** A continuation may have another charset, or comments before its first event or its end. */
  @Test
  void continuationWithoutErrorCompletesAStream() throws IOException {
    String whole = chunk(events(1, 2)) + LAST_CHUNK;
    assertThat(body("/resumable/x", BEGUN, OK + sized(": end\n\nretry: 1\n\n"))).isEqualTo(whole);
    assertThat(body("/resumable/x", BEGUN, "HTTP/1.1 204 None\r\n" + OWN + "\r\n"))
        .isEqualTo(whole);
    String events = "meta: x\n" + events(3);
    String utf = OK + "Content-Type: Text/Event-Stream; charset=utf-8\r\n";
    assertThat(body("/resumable/x", BEGUN, utf + sized(events)))
        .isEqualTo(chunk(events(1, 2)) + chunk(events) + LAST_CHUNK);
  }

  /** Guards against a head that is cut off and looks like a response without a body. */
  @ParameterizedTest
  @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"})
  void responseThatIsCutOffInItsHeadReachesNoCaller(String path) throws IOException {
    String head = OK + "Content-Length: 30\r\n\r\n";
    for (int missing : List.of(0, 1, 2, 3, 4, 5, 23, 24, 30, head.length() - 15)) {
      String cut = head.substring(0, head.length() - missing);
      assertThat(response(path, cut + CLOSE)).as(cut).startsWith("HTTP/1.1 502 ");
      assertThat(response(path, cut + RESET)).as(cut).startsWith("HTTP/1.1 502 ");
    }
  }
}
