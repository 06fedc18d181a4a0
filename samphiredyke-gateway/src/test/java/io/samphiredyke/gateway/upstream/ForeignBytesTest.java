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
import org.junit.jupiter.params.provider.EnumSource;

/** Bodies in which bytes of another response of the same connection arrive. */
class ForeignBytesTest {

  private static final String BODY = "A body of some lines.\r\nHash: of HTTP, and HTTP/1.\r\nEnd";
  private static final String OTHER_BODY = "The body of the earlier response";
  private static final String FAILED = "failed";

  /** Bytes of a status line that are less than a protocol and a slash. */
  private static final int UNRECOGNIZABLE = 4;

  /** Sizes of the reads in which a text arrives are drawn from this seed. */
  private static final long SEED = 58;

  private final SplittableRandom random = new SplittableRandom(SEED);
  private final DefaultEventLoop loop = new DefaultEventLoop();
  private final EndpointConnectionPool pool = new EndpointConnectionPool(loop);

  /** How the end of a body is stated. */
  private enum Framing {
    LENGTH,
    CHUNKS,
    CONNECTION
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully();
  }

  /** Collects the body of a response. */
  private static final class Outcome implements ExchangeListener {

    private final StringBuilder text = new StringBuilder();
    private String body = FAILED;

    @Override
    public void onHead(EndpointResponseHead head, HttpResponse response) {}

    @Override
    public void onContent(ByteBuf content) {
      text.append(content.toString(StandardCharsets.US_ASCII));
    }

    @Override
    public void onEnd() {
      body = text.toString();
    }

    @Override
    public void onFailure(ExchangeFailure failure) {}
  }

  private static String head(String id, String framing) {
    return "HTTP/1.1 200 OK\r\nDate: now\r\nX-Samphiredyke-Request-Id: "
        + id
        + "\r\nX-Samphiredyke-Server-Signature: s\r\n"
        + framing
        + "\r\n";
  }

  private static String response(String id, String body, Framing framing) {
    return switch (framing) {
      case LENGTH -> head(id, "Content-Length: " + body.length() + "\r\n") + body;
      case CHUNKS -> head(id, "Transfer-Encoding: chunked\r\n") + chunk(body) + "0\r\n\r\n";
      case CONNECTION -> head(id, "Connection: close\r\n") + body;
    };
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Returns the body of the response to "r", on a connection that has carried "q" before. */
  private String read(String... parts) {
    EmbeddedChannel channel = new EmbeddedChannel();
    pool.initialize(channel, "endpoint");
    send(channel, "q");
    receive(channel, response("q", OTHER_BODY, Framing.LENGTH));
    Outcome outcome = send(channel, "r");
    for (String part : parts) {
      int position = 0;
      while (position < part.length()) {
        int end = Math.min(part.length(), position + 1 + random.nextInt(90));
        receive(channel, part.substring(position, end));
        position = end;
      }
    }
    channel.finishAndReleaseAll();
    return outcome.body;
  }

  private Outcome send(EmbeddedChannel channel, String id) {
    Outcome outcome = new Outcome();
    OutgoingRequest request =
        new OutgoingRequest(
            id, HttpMethod.GET, "/x", new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    new EndpointExchange(pool, new EndpointTarget("", "endpoint"), request, outcome, true)
        .send(channel);
    return outcome;
  }

  private static void receive(EmbeddedChannel channel, String text) {
    if (channel.isActive()) {
      channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }
  }

  private void collectWrong(String body, List<String> wrong, String... parts) {
    String read = read(parts);
    if (!read.equals(FAILED) && !read.equals(body)) {
      wrong.add(String.join("|", parts) + " is read as " + read);
    }
  }

  /** Guards against a body that takes up its own second copy before the close. */
  @Test
  void bodyWithoutLengthTakesUpNoCopyOfItself() {
    String own = response("r", BODY, Framing.CONNECTION);
    List<String> wrong = new ArrayList<>();
    for (int end = UNRECOGNIZABLE + 1; end <= own.length(); end++) {
      collectWrong(BODY, wrong, own + own.substring(0, end));
      collectWrong(BODY, wrong, own + own + own.substring(0, end));
    }
    assertThat(wrong).isEmpty();
  }

  /** Guards against a failure where the copy proves the body. */
  @Test
  void bodyWithoutLengthBeforeAWholeCopyIsComplete() {
    for (String body : List.of(BODY, "", "x", BODY.repeat(100))) {
      String own = response("r", body, Framing.CONNECTION);
      assertThat(read(own + own)).isEqualTo(body);
    }
    String own = response("r", BODY, Framing.CONNECTION);
    List<String> others = new ArrayList<>();
    for (String copy :
        List.of(
            own + "x",
            own.replace("some", "same"),
            own.replace("200 OK", "500 Failed"),
            own.replace("Date: now\r\n", ""),
            response("r", BODY, Framing.LENGTH),
            response("r", BODY, Framing.CHUNKS),
            response("q", BODY, Framing.CONNECTION),
            own + own)) {
      others.add(read(own + copy));
    }
    assertThat(others).containsOnly(FAILED);
  }

  /** Guards against a late copy of an earlier response within the body of the next one. */
  @Test
  void bodyWithoutLengthTakesUpNoCopyOfAnEarlierResponse() {
    String other = response("q", OTHER_BODY, Framing.LENGTH);
    int idEnd = other.indexOf(": q\r\n") + 5;
    String own = response("r", BODY, Framing.CONNECTION);
    List<String> wrong = new ArrayList<>();
    for (int at = own.length() - BODY.length(); at <= own.length(); at++) {
      for (int end = idEnd; end <= other.length(); end++) {
        String copy = other.substring(0, end);
        collectWrong(BODY, wrong, own.substring(0, at), copy, own.substring(at));
      }
    }
    for (int end = UNRECOGNIZABLE + 1; end <= other.length(); end++) {
      collectWrong(BODY, wrong, own, other.substring(0, end));
    }
    assertThat(wrong).isEmpty();
  }

  /** Guards against a truncated body that is filled with exactly the missing bytes of a copy. */
  @ParameterizedTest
  @EnumSource
  void truncatedBodyIsNotFilledWithAnotherResponse(Framing framing) {
    String other = response("q", OTHER_BODY.repeat(2), Framing.LENGTH);
    List<String> wrong = new ArrayList<>();
    for (int end = UNRECOGNIZABLE + 1; end <= other.length(); end++) {
      for (int kept = 0; kept < BODY.length(); kept += 7) {
        String filled = BODY.substring(0, kept) + other.substring(0, end);
        collectWrong(BODY, wrong, response("r", filled, framing), other.substring(end));
      }
    }
    assertThat(wrong).isEmpty();
  }

  /** Guards against sound bodies that are taken for joined ones. */
  @ParameterizedTest
  @EnumSource
  void bodyThatSpeaksOfHttpIsSound(Framing framing) {
    List<String> parts =
        List.of(
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 404 Not Found\r\nX-Samphiredyke-Request-Id: z\r\n\r\n",
            "HTTP/1.1 200 OK\r\nDate: now\r\n\r\n",
            "HTTP/1.1 200 OK\nX-Samphiredyke-Request-Id: r\n\n",
            " X-Samphiredyke-Request-Id: r\r\n\r\n",
            "GET / HTTP/1.1\r\nX-Samphiredyke-Request-Id: r\r\n\r\n",
            "HHTTP/1.HTTP/1.1 20",
            "HTTP/1.1 200 is fine\n",
            "HTTP/1.1",
            "Date: now\r\n",
            "\r\n",
            " ",
            "é");
    for (int i = 0; i < 500; i++) {
      StringBuilder body = new StringBuilder();
      for (int j = random.nextInt(12); j >= 0; j--) {
        body.append(parts.get(random.nextInt(parts.size())));
      }
      String sound = body.append('.').toString().replace('é', '?');
      assertThat(read(response("r", sound, framing))).isEqualTo(sound);
    }
  }

  @ParameterizedTest
  @EnumSource
  void bodyThatEndsLikeTheHeadOfAnotherServiceIsSound(Framing framing) {
    for (String end :
        List.of("HTTP", "HTTP/2", "HTTP/1.0", "HTTP/1.1 404", "HTTP/1.1 200 OK\r\nServer: x")) {
      assertThat(read(response("r", BODY + end, framing))).isEqualTo(BODY + end);
    }
  }
}
