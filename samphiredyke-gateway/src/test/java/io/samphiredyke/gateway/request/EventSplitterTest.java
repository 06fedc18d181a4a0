package io.samphiredyke.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

  private final SseFramer events = new SseFramer();

  private String add(String text) {
    ByteBuf whole = events.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    return whole.toString(StandardCharsets.UTF_8);
  }

  @Test
  void passesWholeEventsOnly() {
    assertThat(add("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(events.lastEvent()).isEqualTo(1);
    assertThat(events.isWithinEvent()).isTrue();
    assertThat(add("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    assertThat(events.lastEvent()).isEqualTo(2);
    assertThat(events.isWithinEvent()).isFalse();
  }

  @Test
  void cutsBytesAnywhere() {
    String stream = "id:1\r\ndata:x\r\n\r\nversion: 2\nid: 12\ndata: y\n\n";
    StringBuilder passed = new StringBuilder();
    for (char c : stream.toCharArray()) {
      passed.append(add(String.valueOf(c)));
    }
    assertThat(passed.toString()).isEqualTo(stream);
    assertThat(events.firstEvent()).isEqualTo(1);
    assertThat(events.lastEvent()).isEqualTo(12);
  }

  @Test
  void ignoresTheIdOfAnEventThatBrokeOff() {
    add("id: 1\ndata: a\n\nid: 2\ndata: b\n");
    assertThat(events.lastEvent()).isEqualTo(1);
  }
}
