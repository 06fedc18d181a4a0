package io.samphiredyke.client.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class SseParserTest {

  @Provide
  Arbitrary<List<SseEvent>> events() {
    Arbitrary<String> data =
        Arbitraries.strings().ofMaxLength(20).withChars("ab:é€\n {}").ofMinLength(1);
    Arbitrary<String> ids = Arbitraries.integers().between(1, 99).map(Object::toString);
    Arbitrary<String> types = Arbitraries.of("message", "error");
    return Combinators.combine(ids, types, data).as(SseEvent::new).list().ofMaxSize(8);
  }

  @Property
  void readsTheSameEventsHoweverTheStreamIsCut(
      @ForAll("events") List<SseEvent> events,
      @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 7) Integer> chunkSizes,
      @ForAll @IntRange(min = 0, max = 2) int lineEnd) {
    String newline = List.of("\n", "\r", "\r\n").get(lineEnd);
    StringBuilder stream = new StringBuilder();
    for (SseEvent event : events) {
      stream.append(": a comment").append(newline).append("id: ").append(event.id());
      stream.append(newline).append("event:").append(event.type()).append(newline);
      for (String line : event.data().split("\n", -1)) {
        stream.append("data: ").append(line).append(newline);
      }
      stream.append(newline);
    }
    assertThat(parse(stream.toString(), chunkSizes)).isEqualTo(events);
  }

  @Example
  void dropsAnEventThatTheStreamEndsWithin() {
    assertThat(parse("id: 1\ndata: whole\n\nid: 2\ndata: half\n", List.of(3)))
        .containsExactly(new SseEvent("1", "message", "whole"));
  }

  private static List<SseEvent> parse(String stream, List<Integer> chunkSizes) {
    List<SseEvent> read = new ArrayList<>();
    SseParser parser = new SseParser(read::add);
    byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
    int position = 0;
    for (int i = 0; position < bytes.length; i++) {
      int end = Math.min(bytes.length, position + chunkSizes.get(i % chunkSizes.size()));
      parser.read(Arrays.copyOfRange(bytes, position, end));
      position = end;
    }
    return read;
  }
}
