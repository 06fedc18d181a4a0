package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The bounds of {@link ResponseDecoder} for the head of a response. */
class ResponseDecoderTest {

  private static final String STATUS = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";

  private final ResponseDecoder decoder = new ResponseDecoder(() -> {});
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  @BeforeEach
  void startRequest() {
    decoder.requestStarted(HttpMethod.GET);
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  @Test
  void responseMayRepeatTheLongestId() {
    String id = "x".repeat(16_384);
    receive(STATUS + "X-Samphiredyke-Request-Id: " + id + "\r\n\r\n");
    HttpResponse response = channel.readInbound();
    assertThat(response.decoderResult().isSuccess()).isTrue();
    assertThat(response.headers().get("X-Samphiredyke-Request-Id")).isEqualTo(id);
  }

  @Test
  void headMayHaveManyLines() {
    receive(STATUS + "a:\r\n".repeat(2_000) + "\r\n");
    HttpResponse response = channel.readInbound();
    assertThat(response.decoderResult().isSuccess()).isTrue();
  }

  @Test
  void headOfTooManyLinesIsNoResponse() {
    receive(STATUS + "a:\r\n".repeat(2_048) + "\r\n");
    HttpResponse response = channel.readInbound();
    assertThat(response.decoderResult().isFailure()).isTrue();
  }

  /** Guards against decoded lines that are kept until the head ends. */
  @Test
  void unfinishedHeadOfTooManyLinesIsNoResponse() {
    receive(STATUS);
    receive("a:\r\n".repeat(2_000));
    assertThatThrownBy(() -> receive("a:\r\n".repeat(50)))
        .isInstanceOf(TooLongFrameException.class);
  }
}
