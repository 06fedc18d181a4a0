package io.samphiredyke.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.samphiredyke.platform.EndpointResponseHead;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses of which parts are cut off, doubled or joined on one connection. */
class JoinedResponsesTest {

  private static final String BODY = "id: 1\ndata: own\n\nid: 2\ndata: own\n\nid: 3\ndata: own\n\n";
  private static final String OTHER_BODY = BODY.replace("own", "foreign");

  private static final int MAX_STEP = 12;

  /** Sizes of the reads in which a text arrives are drawn from this seed. */
  private static final long SEED = 49;

  private final SplittableRandom random = new SplittableRandom(SEED);
  private final DefaultEventLoop loop = new DefaultEventLoop();
  private final EndpointConnectionPool pool = new EndpointConnectionPool(loop);

  @AfterEach
  void stop() {
    loop.shutdownGracefully();
  }

  /** Collects status and body of a response, null until it is complete. */
  private static final class Outcome implements ExchangeListener {

    private final StringBuilder text = new StringBuilder();
    private String complete = "";

    @Override
    public void onHead(EndpointResponseHead head, HttpResponse response) {
      text.append(head.status()).append(' ');
    }

    @Override
    public void onContent(ByteBuf content) {
      text.append(content.toString(StandardCharsets.US_ASCII));
    }

    @Override
    public void onEnd() {
      complete = text.toString();
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
      text.setLength(0);
    }
  }

  /** Returns status and body of the response to request "r", empty if the exchange failed. */
  private String read(String received) {
    List<String> parts = new ArrayList<>();
    int position = 0;
    while (position < received.length()) {
      int end = Math.min(received.length(), position + 1 + random.nextInt(120));
      parts.add(received.substring(position, end));
      position = end;
    }
    return read(parts);
  }

  private String read(List<String> parts) {
    EmbeddedChannel channel = new EmbeddedChannel();
    pool.initialize(channel, "endpoint");
    Outcome outcome = new Outcome();
    OutgoingRequest request =
        new OutgoingRequest(
            "r", HttpMethod.GET, "/x", new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    new EndpointExchange(pool, new EndpointTarget("", "endpoint"), request, outcome, true)
        .send(channel);
    for (String part : parts) {
      if (channel.isActive()) {
        channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
      }
    }
    channel.finishAndReleaseAll();
    return outcome.complete;
  }

  private static String response(int status, String id, String body, boolean chunked) {
    return "HTTP/1.1 "
        + status
        + " Status\r\nX-Samphiredyke-Request-Id: "
        + id
        + "\r\nX-Samphiredyke-Server-Signature: s\r\nConnection: close\r\n"
        + (chunked
            ? "Transfer-Encoding: chunked\r\n\r\n" + chunks(body) + "0\r\n\r\n"
            : "Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  private static String chunks(String body) {
    StringBuilder text = new StringBuilder();
    for (String event : body.split("(?<=\n\n)")) {
      text.append(Integer.toHexString(event.length())).append("\r\n").append(event).append("\r\n");
    }
    return text.toString();
  }

  /** Guards against a response that begins within what remains of the copy of another one. */
  @ParameterizedTest
  @CsvSource({"true, true", "true, false", "false, true", "false, false"})
  void partOfAnotherResponseBeforeTheOwn(boolean ownChunked, boolean otherChunked) {
    String own = response(500, "r", BODY, ownChunked);
    String other = response(200, "q", OTHER_BODY, otherChunked);
    List<String> wrong = new ArrayList<>();
    for (int from = 0; from <= other.length(); from++) {
      for (int to = from; to <= other.length(); to += 1 + random.nextInt(MAX_STEP)) {
        collectWrong(other.substring(from, to) + own, "500 " + BODY, wrong);
      }
    }
    assertThat(wrong).isEmpty();
  }

  /**
   * Guards against a truncated stream that goes on within another response. Of a response with a
   * length, no bytes tell that they are not its own.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void partOfAnotherResponseAfterATruncatedStream(boolean otherChunked) {
    String own = response(500, "r", BODY, true);
    String other = response(200, "q", OTHER_BODY, otherChunked);
    List<String> wrong = new ArrayList<>();
    for (int to = 0; to <= own.length(); to++) {
      for (int end = 0; end <= other.length(); end += 1 + random.nextInt(MAX_STEP)) {
        collectWrong(own.substring(0, to) + other.substring(0, end), "500 " + BODY, wrong);
      }
    }
    assertThat(wrong).isEmpty();
  }

  /** Guards against a body that is filled with the begin of the response behind it. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void responseInPlaceOfTheEndOfTheBody(boolean otherChunked) {
    String own = response(500, "r", BODY, false);
    String other = response(200, "q", OTHER_BODY, otherChunked);
    List<String> wrong = new ArrayList<>();
    for (int to = own.length() - BODY.length(); to < own.length(); to++) {
      String received = own.substring(0, to) + other;
      String outcome = read(List.of(received));
      if (!outcome.isEmpty()) {
        wrong.add(received + " is read as " + outcome);
      }
    }
    assertThat(wrong).isEmpty();
    assertThat(read(List.of(own + other))).isEqualTo("500 " + BODY);
    assertThat(read(List.of(own + "\r\n"))).isEqualTo("500 " + BODY);
  }

  /** Guards against a head that is joined from those of two responses. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n\r\nwrong",
        "HTTP/1.1 500 Status: x\r\nContent-Length: 5\r\n\r\nwrong",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\nHTTP/1.1 500 Status\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n5\nwrong\r\n0\r\n\r\n",
        "Content-Length: 5\n\nwrong"
      })
  void responseThatIsNotWellFormed(String headersAndBody) {
    assertThat(read("HTTP/1.1 200 OK\r\nX-Samphiredyke-Request-Id: r\r\n" + headersAndBody))
        .isEmpty();
  }

  /** Guards against blank lines that arrive without end, a few at a time. */
  @Test
  void blankLinesWithoutEndCloseTheConnection() {
    assertThat(read("\r\n".repeat(10_000) + response(200, "r", BODY, true))).isEmpty();
  }

  private void collectWrong(String received, String expected, List<String> wrong) {
    String outcome = read(received);
    if (!outcome.isEmpty() && !outcome.equals(expected)) {
      wrong.add(received + " is read as " + outcome);
    }
  }
}
