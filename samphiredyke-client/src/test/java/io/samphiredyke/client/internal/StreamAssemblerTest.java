package io.samphiredyke.client.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.client.ResponseListener;
import io.samphiredyke.net.sse.SseEvent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests the assembly of streams whose events are repeated and arrive in random order. */
class StreamAssemblerTest {

  @Property(tries = 300)
  void isCompleteOnlyWithEveryOffsetInOrder(
      @ForAll @IntRange(min = 1, max = 8) int length, @ForAll long seed) {
    List<SseEvent> arrivals = new ArrayList<>();
    for (int round = 0; round < 2; round++) {
      for (int i = 1; i <= length; i++) {
        arrivals.add(event(i, "t" + i + " "));
      }
      arrivals.add(new SseEvent(Integer.toString(length + 1), "[DONE]"));
    }
    Collections.shuffle(arrivals, new Random(seed));
    List<Long> reportedOffsets = new ArrayList<>();
    StreamAssembler assembler =
        new StreamAssembler(
            new ResponseListener() {
              @Override
              public void onText(long offset, String text) {
                reportedOffsets.add(offset);
              }
            });
    long lastOffset = 0;
    for (SseEvent event : arrivals) {
      boolean isNext = Long.parseLong(event.id()) == lastOffset + 1;
      lastOffset += isNext ? 1 : 0;
      assertThat(assembler.accept(event) == StreamAssembler.Result.ACCEPTED).isEqualTo(isNext);
    }
    assertThat(assembler.isComplete()).isEqualTo(lastOffset == length + 1);
    assertThat(reportedOffsets)
        .hasSize((int) Math.min(lastOffset, length))
        .isSorted()
        .doesNotHaveDuplicates();
  }

  @Property(tries = 20)
  void rejectsEventsWithoutOffset(@ForAll @IntRange(min = 1, max = 3) int length) {
    StreamAssembler assembler = new StreamAssembler(ResponseListener.NONE);
    for (int i = 1; i <= length; i++) {
      assembler.accept(event(i, "x"));
    }
    assertThat(assembler.accept(new SseEvent("", "[DONE]")))
        .isEqualTo(StreamAssembler.Result.REJECTED);
    assertThat(assembler.isComplete()).isFalse();
  }

  private static SseEvent event(int offset, String text) {
    String data = "{\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}";
    return new SseEvent(Integer.toString(offset), data);
  }
}
