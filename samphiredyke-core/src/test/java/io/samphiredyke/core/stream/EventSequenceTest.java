package io.samphiredyke.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Decisions on the events of a stream. */
class EventSequenceTest {

  private final EventSequence sequence = new EventSequence(-1);

  private static List<EventDecision> decisions(EventSequence on, long... ids) {
    List<EventDecision> decisions = new ArrayList<>();
    for (long id : ids) {
      decisions.add(on.accept(StreamEvent.numbered(id)));
    }
    return decisions;
  }

  private EventDecision last(long... ids) {
    List<EventDecision> decisions = decisions(sequence, ids);
    assertThat(decisions.subList(0, ids.length - 1)).containsOnly(EventDecision.PASS);
    return decisions.get(ids.length - 1);
  }

  private EventDecision resumed(long id) {
    sequence.attemptBegins();
    return sequence.accept(StreamEvent.numbered(id));
  }

  @Test
  void repeatedEventIsFaulty() {
    assertThat(last(1, 2, 2)).isEqualTo(EventDecision.REPEATED);
    assertThat(sequence.lastId()).isEqualTo(2);
  }

  @Test
  void earlierEventIsFaulty() {
    assertThat(last(4, 5, 3)).isEqualTo(EventDecision.EARLIER);
  }

  @Test
  void anyFirstIdAndAnyIncreaseIsSoundWithinAnAttempt() {
    assertThat(decisions(sequence, 0, 6, 7, 500, Long.MAX_VALUE)).containsOnly(EventDecision.PASS);
    assertThat(new EventSequence(-1).accept(StreamEvent.numbered(9))).isEqualTo(EventDecision.PASS);
  }

  @Test
  void resumptionThatSkipsAnEventIsFaulty() {
    last(1, 2, 3);
    assertThat(resumed(5)).isEqualTo(EventDecision.GAP);
    assertThat(resumed(4)).isEqualTo(EventDecision.PASS);
  }

  @Test
  void resumptionThatRepeatsIsFaulty() {
    last(1, 2, 3);
    assertThat(resumed(3)).isEqualTo(EventDecision.REPEATED);
    assertThat(resumed(1)).isEqualTo(EventDecision.EARLIER);
  }

  @Test
  void resumptionMayStepAsTheStreamDid() {
    last(6, 12, 18);
    assertThat(resumed(26)).isEqualTo(EventDecision.GAP);
    assertThat(resumed(20)).as("a shorter last event").isEqualTo(EventDecision.PASS);
    assertThat(resumed(90)).as("steps vary").isEqualTo(EventDecision.PASS);
  }

  @Test
  void takeUpIsCheckedAgainstTheEventThatTheCallerHas() {
    EventSequence takeUp = new EventSequence(7);
    assertThat(decisions(takeUp, 7, 3, 8))
        .containsExactly(EventDecision.REPEATED, EventDecision.EARLIER, EventDecision.PASS);
    assertThat(new EventSequence(7).canResume()).isTrue();
  }

  @Test
  void idThatIsNoNumberIsFaulty() {
    for (String text : List.of("", "a", "-1", "1 2", "1.5", "9223372036854775808")) {
      assertThat(sequence.accept(StreamEvent.withId(text))).isEqualTo(EventDecision.MALFORMED_ID);
    }
    assertThat(sequence.hasPassed()).isFalse();
  }

  /** Guards against an event that a continuation would deliver again. */
  @Test
  void streamThatEndsWithoutAnIdIsNotResumed() {
    StreamEvent unnumbered = StreamEvent.of(StreamEvent.Kind.UNNUMBERED);
    last(1, 2);
    assertThat(sequence.accept(unnumbered)).isEqualTo(EventDecision.PASS);
    assertThat(sequence.canResume()).isFalse();
    assertThat(sequence.accept(StreamEvent.numbered(3))).isEqualTo(EventDecision.PASS);
    assertThat(sequence.canResume()).isTrue();
    sequence.attemptBegins();
    assertThat(sequence.accept(unnumbered)).isEqualTo(EventDecision.UNNUMBERED_RESUMPTION);
  }

  @Test
  void commentsAreNoEvents() {
    StreamEvent comment = StreamEvent.of(StreamEvent.Kind.COMMENT);
    assertThat(sequence.accept(comment)).isEqualTo(EventDecision.HOLD);
    assertThat(sequence.hasPassed()).isFalse();
    last(1, 2);
    assertThat(sequence.accept(comment)).isEqualTo(EventDecision.PASS);
    assertThat(sequence.canResume()).isTrue();
  }
}
