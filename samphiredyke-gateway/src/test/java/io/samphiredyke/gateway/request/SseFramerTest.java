package io.samphiredyke.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.samphiredyke.core.stream.StreamEvent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Splitting of a stream into complete server-sent events. */
class SseFramerTest {

  private final SseFramer framer = new SseFramer();
  private final List<StreamEvent> events = new ArrayList<>();

  private String add(String text) {
    framer.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    for (StreamEvent event = framer.next(); event != null; event = framer.next()) {
      events.add(event);
      framer.accept();
      if (event.kind() == StreamEvent.Kind.OVERSIZED) {
        break;
      }
    }
    return framer.take().toString(StandardCharsets.UTF_8);
  }

  private long lastId() {
    return events.get(events.size() - 1).id();
  }

  @Test
  void returnsCompleteEventsOnly() {
    assertThat(add("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(lastId()).isEqualTo(1);
    assertThat(framer.hasPartialEvent()).isTrue();
    assertThat(add("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    assertThat(lastId()).isEqualTo(2);
    assertThat(framer.hasPartialEvent()).isFalse();
  }

  @Test
  void acceptsChunksOfAnySize() {
    String stream = "id:1\r\ndata:x\r\n\r\nversion: 2\nid: 12\ndata: y\n\n";
    StringBuilder passed = new StringBuilder();
    for (char c : stream.toCharArray()) {
      passed.append(add(String.valueOf(c)));
    }
    assertThat(passed.toString()).isEqualTo(stream);
    assertThat(events).containsExactly(StreamEvent.numbered(1), StreamEvent.numbered(12));
  }

  @Test
  void ignoresTheIdOfAnIncompleteEvent() {
    add("id: 1\ndata: a\n\nid: 2\ndata: b\n");
    assertThat(lastId()).isEqualTo(1);
  }

  @Test
  void recognizesEventsWithoutANumber() {
    add(": comment\n\ndata: x\n\nid: y\ndata: z\n\n\n");
    assertThat(events.stream().map(StreamEvent::kind))
        .containsExactly(
            StreamEvent.Kind.COMMENT,
            StreamEvent.Kind.UNNUMBERED,
            StreamEvent.Kind.MALFORMED_ID,
            StreamEvent.Kind.COMMENT);
  }

  /** Guards against an event without end that fills the memory of the host. */
  @Test
  void eventHasABoundedSize() {
    String line = "data: " + "x".repeat(1_000) + "\n";
    for (int i = 0; events.isEmpty() && i < 1_000; i++) {
      add(line);
      assertThat(i * line.length()).isLessThanOrEqualTo(SseFramer.MAX_EVENT_BYTES);
    }
    assertThat(events.get(0).kind()).isEqualTo(StreamEvent.Kind.OVERSIZED);
    assertThat(new SseFramerTest().add("id: 1\n" + line.repeat(60) + "\n")).isNotEmpty();
  }

  private static StreamEvent only(String event) {
    SseFramerTest test = new SseFramerTest();
    test.add(event + "\n\n");
    assertThat(test.events).hasSize(1);
    return test.events.get(0);
  }

  /** Guards against a change of the weights' version that breaks a sound stream off. */
  @Test
  void eventMayStateTheVersionOfTheWeights() {
    for (String line :
        List.of("x-samphiredyke-weight-versions: 7", "x-samphiredyke-weight-versions:7")) {
      assertThat(only(line + "\nid: 4\ndata: x")).isEqualTo(StreamEvent.numbered(4));
      assertThat(only("id: 4\n" + line).kind()).isEqualTo(StreamEvent.Kind.RESPONSE_HEAD);
    }
    for (String line :
        List.of(
            "X-Samphiredyke-Weight-Versions: 7",
            "x-samphiredyke-weight-versions: 7\nContent-Length: 3",
            "x-samphiredyke-weight-versions: a",
            "x-samphiredyke-weight-versions:",
            "x-samphiredyke-request-id: 7")) {
      assertThat(only(line + "\nid: 4").kind()).as(line).isEqualTo(StreamEvent.Kind.RESPONSE_HEAD);
    }
  }

  /** Guards against an event that follows the begin of a copy on the same line. */
  @Test
  void fieldBehindTheBeginOfAStatusLineIsAFault() {
    String statusLine = "HTTP/1.1 200 OK";
    for (int length = 1; length <= statusLine.length(); length++) {
      for (String field : List.of("id: 7", "data: x", "event: x", "retry: 1", "id:7\r")) {
        String event = statusLine.substring(0, length) + field + "\ndata: x";
        assertThat(only(event).kind()).as(event).isEqualTo(StreamEvent.Kind.RESPONSE_HEAD);
      }
    }
    for (String sound : List.of("Hdata", "Huid: 7", "Hid", "HTTPS: x", "hdata: x", "TTPid: 7")) {
      assertThat(only(sound + "\nid: 4")).as(sound).isEqualTo(StreamEvent.numbered(4));
    }
  }

  /** Guards against a head that begins within a line and is cut before a known header. */
  @Test
  void headerBehindAStatusLineWithinALineIsAFault() {
    for (String line : List.of("data: to", "da", "id: 4", "")) {
      String event = line + "HTTP/1.1 200 OK\r\nDate: noid: 7\ndata: x";
      assertThat(only(event).kind()).as(event).isEqualTo(StreamEvent.Kind.RESPONSE_HEAD);
    }
    for (String sound :
        List.of(
            "data: HTTP/1.1 200 OK\nmeta: x\nid: 4",
            "data: HTTP/1.1 is spoken\r\nmeta: x\r\nid: 4",
            "data: HTTP/1.1 200 OK\r\ndata: x\r\n: x\r\nid: 4",
            "data: x\r\nmeta: x\r\nid: 4")) {
      assertThat(only(sound)).as(sound).isEqualTo(StreamEvent.numbered(4));
    }
  }
}
