package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.PlatformFixtures;
import io.samphiredyke.platform.standin.RawServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A gateway process with a small heap, and clients that send as much as the limits permit: many
 * short or odd lines, unfinished or pipelined requests. The process must live within the limits of
 * its machine and answer ordinary requests beside the crowd and after it.
 */
@Timeout(120)
class MisbehavingClientsTest extends GatewayHarness {

  /** Length of the lines of a head, with which it stays inside the limit for heads. */
  private static final int LINES_BYTES = 15_800;

  /** Length of the lines of a response's head, with which its decoder accepts it. */
  private static final int RESPONSE_LINES_BYTES = 7_600;

  private static final int CALLERS = 0;
  private static final int READINESS = 1;
  private static final int DIRECTORY = 2;
  private static final int PEERS = 3;
  private static final int METRICS = 4;
  private static final int MAX_SEND_SECONDS = 10;
  private static final int SLOTS = 400;
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final String POST = "POST /unsafe/x HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  private static final String CHUNKED = POST + "Transfer-Encoding: chunked\r\n\r\n";

  /** What clients send, on how many connections each, to which of the ports. */
  enum Crowd {
    UNFINISHED_HEADS(CALLERS, 120, i -> POST + shortLines()),
    UNFINISHED_HEADS_READINESS(READINESS, 120, i -> POST + shortLines()),
    UNFINISHED_HEADS_DIRECTORY(DIRECTORY, 120, i -> POST + shortLines()),
    UNFINISHED_HEADS_PEERS(PEERS, 120, i -> POST + shortLines()),
    UNFINISHED_HEADS_METRICS(METRICS, 120, i -> POST + shortLines()),
    UNREAD_BODIES_METRICS(METRICS, 120, i -> head(i, shortLines() + "Content-Length: 9\r\n")),
    UNFINISHED_TRAILERS(CALLERS, 120, i -> CHUNKED + "1\r\nx\r\n0\r\n" + shortLines()),
    UNFINISHED_BODIES(
        CALLERS, 60, i -> POST + "Content-Length: 2000000\r\n\r\n" + "x".repeat(1_000_000)),
    ONE_BYTE_CHUNKS(CALLERS, 20, i -> CHUNKED + "1\r\nx\r\n".repeat(100_000)),
    UNFINISHED_CHUNK_EXTENSIONS(CALLERS, 120, i -> CHUNKED + "1;" + "a".repeat(LINES_BYTES)),
    WHOLE_HEADS(CALLERS, 100, i -> head(i, shortLines())),
    FOLDED_LINES(CALLERS, 60, i -> head(i, "a: b\r\n" + " c\r\n".repeat(LINES_BYTES / 4))),
    NAMED_BY_CONNECTION(CALLERS, 60, i -> head(i, connectionLines())),
    PROMPT_PARTS(CALLERS, 200, i -> head(i, promptParts())),
    WHOLE_BODIES(CALLERS, 40, i -> longRequest(i)),
    PIPELINED(CALLERS, 2, i -> head(i, shortLines()).repeat(120)),
    PIPELINED_BODIES(CALLERS, 2, i -> longRequest(i).repeat(30)),
    PIPELINED_UNREAD(CALLERS, 2, i -> "GET /x HTTP/1.1\r\n\r\n".repeat(400_000)),
    PIPELINED_UNREAD_METRICS(METRICS, 2, i -> "GET /metrics HTTP/1.1\r\n\r\n".repeat(100_000)),
    BLANK_LINES(CALLERS, 20, i -> "\r\n".repeat(500_000)),
    LONG_PATHS(CALLERS, 120, i -> head(i, "").replace("/x", "/" + "x".repeat(LINES_BYTES))),
    LONG_IDS(CALLERS, 120, i -> head(i, "").replace("crowd-", "crowd-" + "x".repeat(15_000))),
    LONG_IDS_OF_STREAMS(CALLERS, 4, i -> streamHead("x".repeat(15_000) + i).repeat(500)),
    RESPONSE_HEADS(CALLERS, 120, i -> head(i, "").replace("crowd-", "lines-")),
    IDLE(CALLERS, 800, i -> ""),
    IDLE_READINESS(READINESS, 800, i -> ""),
    IDLE_PEERS(PEERS, 800, i -> "");

    private final int port;
    private final int connections;
    private final IntFunction<String> text;

    Crowd(int port, int connections, IntFunction<String> text) {
      this.port = port;
      this.connections = connections;
      this.text = text;
    }
  }

  @TempDir private Path directory;
  private GatewayProcess gateway;

  /** Lines of four bytes with 26 different names. */
  private static String shortLines() {
    StringBuilder lines = new StringBuilder();
    for (int i = 0; lines.length() < LINES_BYTES; i++) {
      lines.append((char) ('a' + i % 26)).append(":\r\n");
    }
    return lines.toString();
  }

  private static String longRequest(int number) {
    return head(number, "Content-Length: 1000000\r\n") + "x".repeat(1_000_000);
  }

  private static String connectionLines() {
    String names = "Connection: " + "b,c,d,e,f,g,h,i,j,k,".repeat(4) + "l\r\n";
    return shortLines().substring(0, LINES_BYTES / 2) + names.repeat(LINES_BYTES / 200);
  }

  private static String promptParts() {
    return "X-Samphiredyke-Token-Usage: 4000,10\r\nX-Samphiredyke-Prompt-Prefix: "
        + "1:1,".repeat(LINES_BYTES / 4)
        + "\r\n";
  }

  /** Returns the head of a request that an endpoint holds without answering it. */
  private static String head(int number, String lines) {
    return POST
        + "Authorization: Bearer key\r\nX-Samphiredyke-Deadline-Ms: 15000\r\n"
        + "X-Samphiredyke-Request-Id: crowd-"
        + number
        + "\r\n"
        + lines
        + "\r\n";
  }

  private static String streamHead(String id) {
    return head(0, "").replace("/unsafe/", "/stream/").replace("crowd-", id);
  }

  /** Sends a head of many lines, and a body that does not end, if the id asks for it. */
  private static void respond(String id, Socket socket) throws IOException {
    if (id.startsWith("lines-")) {
      RawServer.write(
          socket,
          "HTTP/1.1 200 OK\r\nX-Samphiredyke-Server-Signature: s\r\nContent-Length: 9\r\n"
              + "X-Samphiredyke-Request-Id: "
              + id
              + "\r\n"
              + shortLines().substring(0, RESPONSE_LINES_BYTES)
              + "\r\nx");
    }
  }

  @BeforeEach
  void startProcess() throws IOException {
    register("draining", plainEndpoints);
    String entry =
        plainEndpoints
            .get(0)
            .entry("ready")
            .replace("\"BatchSlots\":4", "\"BatchSlots\":" + SLOTS)
            .replaceFirst(
                "127\\.0\\.0\\.1:\\d+", RawServer.start(MisbehavingClientsTest::respond).address());
    store.put(StoreClient.ENDPOINT_TOPIC, "p-raw", entry);
    store.put(
        StoreClient.OPERATOR_TOPIC,
        StoreClient.CONFIGURATION_KEY,
        PlatformFixtures.configuration(1, List.of(), List.of(PlatformFixtures.KEY))
            .replace("\"MaxHeaderBytes\":2048", "\"MaxHeaderBytes\":16384")
            .replace("\"MaxBodyBytes\":4096", "\"MaxBodyBytes\":" + MAX_BODY_BYTES));
    gateway = GatewayProcess.start(directory, freePorts(10), storeAddress());
    await(() -> gateway.status(CALLERS, "/stream/x") == 200);
  }

  @AfterEach
  void stopProcess() {
    gateway.close();
  }

  @ParameterizedTest
  @EnumSource(Crowd.class)
  void processLivesAndAnswersOrdinaryRequests(Crowd crowd) throws Exception {
    List<Socket> clients = connect(crowd);
    gateway.assertAnswers(CALLERS, "/stream/x");
    gateway.assertAnswers(READINESS, "/samphiredyke/ready");
    for (Socket client : clients) {
      client.close();
    }
    gateway.assertAnswers(CALLERS, "/stream/x");
    gateway.assertAnswers(READINESS, "/samphiredyke/ready");
  }

  /** Guards against limits that a single request inside those of the platform meets. */
  @ParameterizedTest
  @EnumSource(
      names = {
        "WHOLE_HEADS",
        "FOLDED_LINES",
        "NAMED_BY_CONNECTION",
        "PROMPT_PARTS",
        "WHOLE_BODIES"
      })
  void singleRequestInsideTheLimitsIsServed(Crowd crowd) throws Exception {
    assertServed(crowd.text.apply(0));
  }

  @Test
  void singleLongBodyIsServed() throws Exception {
    String body = "x".repeat(MAX_BODY_BYTES);
    assertServed(head(0, "Content-Length: " + MAX_BODY_BYTES + "\r\n") + body);
    String chunks = "1;a=b\r\nx\r\n".repeat(MAX_BODY_BYTES / 16) + "0\r\n" + shortLines() + "\r\n";
    assertServed(head(1, "Transfer-Encoding: chunked\r\n") + chunks);
  }

  /** Guards against a limit for heads of responses that is less than an id that they repeat. */
  @Test
  void singleRequestWithLongIdIsServed() throws Exception {
    assertServed(Crowd.LONG_IDS.text.apply(0));
  }

  @Test
  void limitsAreReported() throws Exception {
    List<Socket> clients = new ArrayList<>(connect(Crowd.UNFINISHED_BODIES));
    clients.addAll(connect(Crowd.IDLE));
    clients.addAll(connect(Crowd.IDLE_READINESS));
    gateway.assertAnswers(CALLERS, "/stream/x");
    await(() -> gateway.logs("\"event\":\"memory_reclaimed\""));
    await(() -> gateway.logs("\"event\":\"connection_displaced\",\"stage\":\"IDLE\""));
    String metrics = gateway.page(METRICS, "/metrics");
    assertThat(metrics)
        .containsPattern("samphiredyke_client_memory_bytes [0-9]")
        .containsPattern("samphiredyke_client_memory_limit_bytes 8[0-9]{6}")
        .containsPattern("samphiredyke_client_memory_reclaimed [1-9]")
        .containsPattern("samphiredyke_caller_connections_limit 133")
        .containsPattern("samphiredyke_caller_connections_displaced [1-9]");
    for (Socket client : clients) {
      client.close();
    }
  }

  private void assertServed(String request) throws IOException {
    try (Socket client = new Socket()) {
      client.connect(gateway.address(CALLERS));
      String served = request.replace(POST, POST.replace("unsafe", "stream"));
      client.getOutputStream().write(served.getBytes(StandardCharsets.ISO_8859_1));
      byte[] status = client.getInputStream().readNBytes("HTTP/1.1 200".length());
      assertThat(status).asString().isEqualTo("HTTP/1.1 200");
    }
    gateway.assertLives();
  }

  /** Connects the clients and sends their bytes, as far as the gateway takes them. */
  private List<Socket> connect(Crowd crowd) throws Exception {
    InetSocketAddress address = gateway.address(crowd.port);
    List<Socket> clients = new ArrayList<>();
    CountDownLatch sent = new CountDownLatch(crowd.connections);
    for (int i = 0; i < crowd.connections; i++) {
      Socket client = new Socket();
      clients.add(client);
      String text = crowd.text.apply(i);
      Thread sender = new Thread(() -> send(client, address, text, sent));
      sender.setDaemon(true);
      sender.start();
    }
    sent.await(MAX_SEND_SECONDS, TimeUnit.SECONDS);
    return clients;
  }

  private static void send(
      Socket client, InetSocketAddress address, String text, CountDownLatch sent) {
    try {
      client.connect(address);
      client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException e) {
      // The gateway refused the connection or closed it, which it may.
    } finally {
      sent.countDown();
    }
  }
}
