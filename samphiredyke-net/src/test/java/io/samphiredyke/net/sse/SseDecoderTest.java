package io.samphiredyke.net.sse;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the decoding of server-sent events. */
class SseDecoderTest {

  @Property(seed = "1", tries = 200)
  void decodesEventsSplitAtAnyByte(
      @ForAll @Size(min = 1, max = 20) List<String> texts,
      @ForAll @IntRange(min = 1, max = 7) int chunk) {
    List<SseEvent> sent = new ArrayList<>();
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    for (int i = 0; i < texts.size(); i++) {
      String data = texts.get(i).replaceAll("\\P{Print}", "") + "x";
      SseEvent event = new SseEvent(Integer.toString(i + 1), data);
      sent.add(event);
      stream.writeBytes(event.bytes());
    }
    assertThat(decode(stream.toByteArray(), chunk)).isEqualTo(sent);
  }

  @Test
  void skipsCommentsAndUnknownFields() {
    byte[] stream = ": hi\r\nevent: a\r\nid: 4\r\ndata: b\r\n\r\n".getBytes(StandardCharsets.UTF_8);
    assertThat(decode(stream, 3)).containsExactly(new SseEvent("4", "b"));
  }

  @Test
  void rejectsLongEvents() {
    byte[] stream = new byte[2000];
    Arrays.fill(stream, (byte) 'a');
    assertThatThrownBy(() -> decode(stream, 100)).isInstanceOf(SseException.class);
  }

  /** Guards against the head of another response that becomes part of an event. */
  @Test
  void rejectsTheHeadOfAResponse() {
    for (String line : List.of("HTTP/1.1 200 OK", "Content-Length: 4", "transfer-encoding: a")) {
      byte[] stream = ("id: 4\n" + line + "\ndata: b\n\n").getBytes(StandardCharsets.UTF_8);
      assertThatThrownBy(() -> decode(stream, 3)).as(line).isInstanceOf(SseException.class);
    }
    byte[] sound = "id: 4\ndata: HTTP/1.1 200 OK\n\n".getBytes(StandardCharsets.UTF_8);
    assertThat(decode(sound, 3)).containsExactly(new SseEvent("4", "HTTP/1.1 200 OK"));
  }

  /** Guards against an event that was cut off and goes on with the head of a copy. */
  @Test
  void rejectsAStatusLineAtTheEndOfALine() {
    for (String line : List.of("HTTP/1.1 200 OK", "HTTP/1.0 404 Not Found", "HTTP/1.1 500 ")) {
      for (String next : List.of("Server: a\r\n", "id: 1\n", "")) {
        String text = "id: 4\ndata: {\"id\":\"c" + line + "\r\n" + next + "\r\n";
        byte[] stream = text.getBytes(StandardCharsets.UTF_8);
        assertThatThrownBy(() -> decode(stream, 3)).as(text).isInstanceOf(SseException.class);
      }
    }
    byte[] sound =
        "id: 4\r\ndata: {\"a\":\"HTTP/1.1 200 OK\"}\r\n\r\n".getBytes(StandardCharsets.UTF_8);
    assertThat(decode(sound, 3)).containsExactly(new SseEvent("4", "{\"a\":\"HTTP/1.1 200 OK\"}"));
  }

  private static List<SseEvent> decode(byte[] stream, int chunk) {
    SseDecoder decoder = new SseDecoder(1000);
    List<SseEvent> events = new ArrayList<>();
    for (int from = 0; from < stream.length; from += chunk) {
      int to = Math.min(stream.length, from + chunk);
      decoder.feed(Arrays.copyOfRange(stream, from, to), events::add);
    }
    return events;
  }
}
