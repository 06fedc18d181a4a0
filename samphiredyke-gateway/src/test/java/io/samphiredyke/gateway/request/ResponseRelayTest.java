package io.samphiredyke.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.samphiredyke.core.serving.RouteKind;
import io.samphiredyke.core.stream.EventDecision;
import io.samphiredyke.gateway.frontend.ResponseWriter;
import io.samphiredyke.gateway.log.DecisionLog;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Relaying of plain and streamed responses, with the test itself as the writer. */
class ResponseRelayTest implements ResponseWriter {

  private static final int MEMORY_BYTES = 10;

  private final StringBuilder written = new StringBuilder();
  private final ResponseMemory memory =
      new ResponseMemory(MEMORY_BYTES, new DecisionLog(OutputStream.nullOutputStream(), () -> 0));

  private ResponseMemory.Share share() {
    return memory.shareOf("r");
  }

  @Override
  public void send(int status, HttpHeaders headers, ByteBuf body) {
    written.append(status).append(' ').append(body.toString(StandardCharsets.UTF_8)).append(" end");
  }

  @Override
  public void start(int status, HttpHeaders headers) {
    written.append(status).append(' ').append(headers.get("digest")).append(' ');
  }

  @Override
  public void write(ByteBuf chunk) {
    written.append(chunk.toString(StandardCharsets.UTF_8));
  }

  @Override
  public void end() {
    written.append("end");
  }

  @Override
  public void abort() {
    written.append("abort");
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
  void buffersAPlainResponseUntilItIsComplete() {
    ResponseRelay relay = new ResponseRelay(this, RouteKind.IDEMPOTENT, -1, share(), () -> {});
    relay.onHead(head("d"), true);
    relay.onContent(text("half"));
    assertThat(written).isEmpty();
    relay.prepareRetry();
    relay.onHead(head("e"), true);
    relay.onContent(text("complete"));
    relay.end();
    assertThat(written.toString()).isEqualTo("200 complete end");
  }

  /** Guards against responses that fill the memory of the host together. */
  @Test
  void buffersNoMoreThanTheMemoryOfTheHost() {
    ResponseRelay first = new ResponseRelay(this, RouteKind.IDEMPOTENT, -1, share(), () -> {});
    first.onHead(head("a"), true);
    first.onContent(text("12345678"));
    ResponseRelay second = new ResponseRelay(this, RouteKind.IDEMPOTENT, -1, share(), () -> {});
    second.onHead(head("b"), true);
    second.onContent(text("ab"));
    assertThat(written).isEmpty();
    second.onContent(text("cd"));
    assertThat(written.toString()).isEqualTo("200 b abcd");
    assertThat(memory.exhausted()).isEqualTo(1);
    first.prepareRetry();
    assertThat(memory.reserved()).isEqualTo(2);
    second.release();
    assertThat(memory.reserved()).isZero();
  }

  @Test
  void resumesAStreamAfterTheLastCompleteEvent() {
    ResponseRelay relay =
        new ResponseRelay(this, RouteKind.RESUMABLE_STREAM, -1, share(), () -> {});
    relay.onHead(head("first"), true);
    relay.onContent(text("id: 1\n\nid: 2\n\nid: 3\nda"));
    assertThat(relay.canResume()).isTrue();
    assertThat(relay.lastEventId()).isEqualTo(2);
    relay.prepareRetry();
    relay.onHead(head("second"), true);
    assertThat(relay.onContent(text("id: 3\n\n"))).isEqualTo(EventDecision.PASS);
    relay.end();
    assertThat(written.toString()).isEqualTo("200 first id: 1\n\nid: 2\n\nid: 3\n\nend");
  }

  @Test
  void rejectsAResumedStreamThatRepeatsEvents() {
    ResponseRelay relay =
        new ResponseRelay(this, RouteKind.RESUMABLE_STREAM, -1, share(), () -> {});
    relay.onHead(head("first"), true);
    relay.onContent(text("id: 1\n\nid: 2\n\n"));
    relay.prepareRetry();
    relay.onHead(head("second"), true);
    assertThat(relay.onContent(text("id: 1\n\n"))).isEqualTo(EventDecision.EARLIER);
  }

  @Test
  void passesOnTheEventsBeforeAFaultyOne() {
    ResponseRelay relay = new ResponseRelay(this, RouteKind.STREAM, -1, share(), () -> {});
    relay.onHead(head("first"), true);
    EventDecision decision = relay.onContent(text("id: 1\n\nid: 2\n\nid: 2\n\nid: 3\n\n"));
    assertThat(decision).isEqualTo(EventDecision.REPEATED);
    assertThat(relay.lastReceivedId()).isEqualTo(2);
    assertThat(written.toString()).isEqualTo("200 first id: 1\n\nid: 2\n\n");
  }

  /** Guards against a caller that gets a head, and then nothing, of an endpoint that breaks off. */
  @Test
  void headIsThatOfTheFirstEvent() {
    List<String> begun = new ArrayList<>();
    ResponseRelay relay =
        new ResponseRelay(this, RouteKind.RESUMABLE_STREAM, -1, share(), () -> begun.add("first"));
    relay.onHead(head("first"), true);
    relay.onContent(text(": comment\n\nid: 1\nda"));
    assertThat(written).isEmpty();
    assertThat(relay.hasStarted()).isFalse();
    relay.prepareRetry();
    relay.onHead(head("second"), true);
    relay.onContent(text("id: 1\n\n"));
    relay.onContent(text("id: 2\n\n"));
    assertThat(written.toString()).isEqualTo("200 second id: 1\n\nid: 2\n\n");
    assertThat(begun).hasSize(1);
  }

  @Test
  void streamWithoutEventsIsCompleteAtItsRegularEnd() {
    ResponseRelay relay = new ResponseRelay(this, RouteKind.STREAM, -1, share(), () -> {});
    relay.onHead(head("first"), true);
    relay.onContent(text(": comment\n\n"));
    assertThat(relay.endsMidEvent()).isFalse();
    relay.end();
    assertThat(written.toString()).isEqualTo("200 : comment\n\n end");
  }

  @Test
  void detectsAStreamThatEndsMidEvent() {
    ResponseRelay relay =
        new ResponseRelay(this, RouteKind.RESUMABLE_STREAM, -1, share(), () -> {});
    relay.onHead(head("first"), true);
    relay.onContent(text("id: 1\n\nid: 2"));
    assertThat(relay.endsMidEvent()).isTrue();
  }
}
