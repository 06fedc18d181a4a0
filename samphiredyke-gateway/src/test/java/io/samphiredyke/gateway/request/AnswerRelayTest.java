package io.samphiredyke.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.samphiredyke.gateway.frontend.ResponseWriter;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class AnswerRelayTest implements ResponseWriter {

  private final StringBuilder sent = new StringBuilder();

  @Override
  public void send(int status, HttpHeaders headers, ByteBuf body) {
    sent.append(status).append(' ').append(body.toString(StandardCharsets.UTF_8)).append(" end");
  }

  @Override
  public void start(int status, HttpHeaders headers) {
    sent.append(status).append(' ').append(headers.get("digest")).append(' ');
  }

  @Override
  public void write(ByteBuf piece) {
    sent.append(piece.toString(StandardCharsets.UTF_8));
  }

  @Override
  public void end() {
    sent.append("end");
  }

  @Override
  public void abort() {
    sent.append("abort");
  }

  @Override
  public boolean isWritable() {
    return true;
  }

  private static HttpResponse head(String digest) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set("digest", digest).set("Connection", "close");
    return response;
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  @Test
  void holdsAPlainAnswerUntilItIsWhole() {
    ResponseRelay relay = new ResponseRelay(this, false);
    relay.head(head("d"), true);
    relay.content(text("half"));
    assertThat(sent).isEmpty();
    relay.nextRun();
    relay.head(head("e"), true);
    relay.content(text("whole"));
    relay.end();
    assertThat(sent.toString()).isEqualTo("200 whole end");
  }

  @Test
  void continuesAStreamExactlyAfterTheLastWholeEvent() {
    ResponseRelay relay = new ResponseRelay(this, true);
    relay.head(head("first"), true);
    relay.content(text("id: 1\n\nid: 2\n\nid: 3\nda"));
    assertThat(relay.canResume()).isTrue();
    assertThat(relay.lastEvent()).isEqualTo(2);
    relay.nextRun();
    relay.head(head("second"), true);
    assertThat(relay.content(text("id: 3\n\n"))).isTrue();
    relay.end();
    assertThat(sent.toString()).isEqualTo("200 first id: 1\n\nid: 2\n\nid: 3\n\nend");
  }

  @Test
  void rejectsAContinuationThatRepeatsEvents() {
    ResponseRelay relay = new ResponseRelay(this, true);
    relay.head(head("first"), true);
    relay.content(text("id: 1\n\nid: 2\n\n"));
    relay.nextRun();
    relay.head(head("second"), true);
    assertThat(relay.content(text("id: 1\n\n"))).isFalse();
  }

  @Test
  void noticesAStreamThatEndsWithinAnEvent() {
    ResponseRelay relay = new ResponseRelay(this, true);
    relay.head(head("first"), true);
    relay.content(text("id: 1\n\nid: 2"));
    assertThat(relay.endsWithinEvent()).isTrue();
  }
}
