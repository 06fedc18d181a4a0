package io.samphiredyke.client;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Responses of hosts that are cut off, or filled with bytes of another response. */
@Timeout(60)
class IncompleteResponseTest {

  private static final String BODY = "filed under 4711";
  private static final String UNSIZED =
      "HTTP/1.1 200 OK\r\nIdempotency-Key: ID\r\nConnection: close\r\n\r\n" + BODY;
  private static final String SIZED =
      "HTTP/1.1 200 OK\r\nIdempotency-Key: ID\r\nContent-Length: "
          + BODY.length()
          + "\r\n\r\n"
          + BODY;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private SamphiredykeClient client(RawHost host) {
    ClientOptions options = ClientOptions.defaults().withInactivityTimeout(Duration.ofSeconds(5));
    return SamphiredykeClient.builder()
        .group(group)
        .customerKey("key")
        .seeds(List.of(host.address()))
        .options(options)
        .build();
  }

  private static ServiceCall call() {
    return ServiceCall.of("registrations", "file", new byte[0]);
  }

  /** Returns the bodies that differ from the whole one, each after one response. */
  private List<String> wrongBodiesAfter(List<String> firstResponses) throws IOException {
    List<String> wrong = new ArrayList<>();
    for (String first : firstResponses) {
      try (RawHost host = RawHost.start(List.of(first), SIZED);
          SamphiredykeClient client = client(host)) {
        String text = client.call(call()).join().text();
        if (!text.equals(BODY)) {
          wrong.add(text + " after " + first);
        }
      }
    }
    return wrong;
  }

  /** Guards against the response of a killed host that is cut off and looks complete. */
  @Test
  void responseWithoutLengthCutAtAnyByteIsNotComplete() throws IOException {
    List<String> cut = new ArrayList<>();
    for (int length = UNSIZED.length() - BODY.length(); length <= UNSIZED.length(); length++) {
      cut.add(UNSIZED.substring(0, length));
    }
    assertThat(wrongBodiesAfter(cut)).isEmpty();
  }

  /** Guards against a body that was cut off and is filled with the copy of a response. */
  @Test
  void bodyFilledWithACopyIsNotComplete() throws IOException {
    List<String> filled = new ArrayList<>();
    int begin = SIZED.length() - BODY.length();
    for (int cut = begin; cut < SIZED.length(); cut++) {
      int missing = SIZED.length() - cut;
      String head = SIZED.substring(0, cut);
      filled.add(head + SIZED);
      filled.add(head + SIZED.substring(0, missing));
      filled.add(head + SIZED.substring(0, missing) + RawHost.LATER + SIZED.substring(missing));
    }
    assertThat(wrongBodiesAfter(filled)).isEmpty();
  }

  /** Guards against a sound body that is never accepted because it speaks of HTTP. */
  @Test
  void bodyThatContainsAResponseIsAccepted() throws IOException {
    String body = "sent: HTTP/1.1 200 OK";
    String response = "HTTP/1.1 200 OK\r\nIdempotency-Key: ID\r\nContent-Length: 21\r\n\r\n" + body;
    try (RawHost host = RawHost.start(List.of(), response);
        SamphiredykeClient client = client(host)) {
      assertThat(client.call(call()).join().text()).isEqualTo(body);
      assertThat(host.posts()).isLessThanOrEqualTo(2);
    }
  }
}
