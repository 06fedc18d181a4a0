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

class ReceptionTest {

  @Property(tries = 300)
  void isWholeOnlyWithEveryOffsetInOrder(
      @ForAll @IntRange(min = 1, max = 8) int length, @ForAll long seed) {
    List<SseEvent> arrivals = new ArrayList<>();
    for (int round = 0; round < 2; round++) {
      for (int i = 1; i <= length; i++) {
        arrivals.add(event(i, "t" + i + " "));
      }
      arrivals.add(new SseEvent(Integer.toString(length + 1), "[DONE]"));
    }
    Collections.shuffle(arrivals, new Random(seed));
    List<Long> told = new ArrayList<>();
    Reception reception =
        new Reception(
            new ResponseListener() {
              @Override
              public void onText(long offset, String text) {
                told.add(offset);
              }
            });
    long expected = 0;
    for (SseEvent event : arrivals) {
      boolean isNext = Long.parseLong(event.id()) == expected + 1;
      expected += isNext ? 1 : 0;
      assertThat(reception.accept(event) == Reception.Result.ACCEPTED).isEqualTo(isNext);
    }
    assertThat(reception.isWhole()).isEqualTo(expected == length + 1);
    assertThat(told).hasSize((int) Math.min(expected, length)).isSorted().doesNotHaveDuplicates();
  }

  @Property(tries = 20)
  void refusesEventsWithoutOffset(@ForAll @IntRange(min = 1, max = 3) int length) {
    Reception reception = new Reception(ResponseListener.NONE);
    for (int i = 1; i <= length; i++) {
      reception.accept(event(i, "x"));
    }
    assertThat(reception.accept(new SseEvent("", "[DONE]"))).isEqualTo(Reception.Result.REFUSED);
    assertThat(reception.isWhole()).isFalse();
  }

  private static SseEvent event(int offset, String text) {
    String data = "{\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}";
    return new SseEvent(Integer.toString(offset), data);
  }
}
