package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.StoreClient;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An endpoint that repeats the refusal of a request when the request is sent again. */
class RepeatedRefusalTest extends GatewayHarness {

  private static final String ID_HEADER = "X-Samphiredyke-Request-Id: ";

  private static final int REQUESTS = 20;

  private final AtomicInteger runs = new AtomicInteger();
  private final Set<String> refused = ConcurrentHashMap.newKeySet();

  /** Refuses each request once; repeats the last refusal of the connection before it responds. */
  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String repeated = "";
      String id = "";
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.regionMatches(true, 0, ID_HEADER, 0, ID_HEADER.length())) {
          id = line.substring(ID_HEADER.length()).strip();
        }
        if (line.isEmpty()) {
          String response = repeated + (refused.add(id) ? refusal(id) : run(id));
          repeated = response.startsWith("HTTP/1.1 503") ? response : "";
          socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        }
      }
    } catch (IOException e) {
      // The gateway closed the connection.
    }
  }

  private String refusal(String id) {
    return "HTTP/1.1 503 Full\r\nX-Samphiredyke-Not-Executed: 1\r\nRetry-After: 0.05\r\n"
        + ID_HEADER
        + id
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  private String run(String id) {
    runs.incrementAndGet();
    return "HTTP/1.1 200 OK\r\nX-Samphiredyke-Server-Signature: s\r\n"
        + ID_HEADER
        + id
        + "\r\nContent-Length: 2\r\n\r\nok";
  }

  private int listen() throws IOException {
    ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
    Thread acceptor =
        new Thread(
            () -> {
              while (true) {
                try {
                  Socket socket = server.accept();
                  Thread connection = new Thread(() -> serve(socket));
                  connection.setDaemon(true);
                  connection.start();
                } catch (IOException e) {
                  return;
                }
              }
            });
    acceptor.setDaemon(true);
    acceptor.start();
    return server.getLocalPort();
  }

  /** Guards against a late copy of a refusal that is taken for the answer to the next attempt. */
  @ParameterizedTest
  @ValueSource(strings = {"/unsafe/x", "/safe/x"})
  void copyOfRefusalIsNotTheAnswerToTheNextAttempt(String path) throws IOException {
    register("draining", plainEndpoints);
    store.put(
        StoreClient.ENDPOINT_TOPIC,
        "p-raw",
        plainEndpoints
            .get(0)
            .entry("ready")
            .replaceFirst("127\\.0\\.0\\.1:\\d+", "127.0.0.1:" + listen()));
    RunningGateway running = startConfiguredGateway();
    for (int i = 1; i <= REQUESTS; i++) {
      assertThat(send(request(running, path).build()).statusCode()).isEqualTo(200);
      assertThat(runs).as("runs of %d requests", i).hasValue(i);
    }
  }
}
