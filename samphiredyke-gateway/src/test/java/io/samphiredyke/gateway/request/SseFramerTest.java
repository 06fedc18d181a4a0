package io.samphiredyke.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Splitting of a stream into complete server-sent events. */
class SseFramerTest {

  private final SseFramer framer = new SseFramer();

  private String add(String text) {
    ByteBuf completeEvents = framer.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    return completeEvents.toString(StandardCharsets.UTF_8);
  }

  @Test
  void returnsCompleteEventsOnly() {
    assertThat(add("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(framer.lastEventId()).isEqualTo(1);
    assertThat(framer.hasPartialEvent()).isTrue();
    assertThat(add("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    assertThat(framer.lastEventId()).isEqualTo(2);
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
    assertThat(framer.firstEventId()).isEqualTo(1);
    assertThat(framer.lastEventId()).isEqualTo(12);
  }

  @Test
  void ignoresTheIdOfAnIncompleteEvent() {
    add("id: 1\ndata: a\n\nid: 2\ndata: b\n");
    assertThat(framer.lastEventId()).isEqualTo(1);
  }
}
