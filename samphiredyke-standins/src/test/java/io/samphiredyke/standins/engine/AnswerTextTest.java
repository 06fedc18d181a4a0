package io.samphiredyke.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.standins.engine.AnswerText.Verdict;
import org.junit.jupiter.api.Test;

class AnswerTextTest {

  private static final AnswerText ANSWER = AnswerText.of("ticket.1", Prompt.digestOf("hello"));

  @Test
  void wholeAnswerProvesItself() {
    assertThat(ANSWER.check(ANSWER.whole(1))).isEqualTo(Verdict.WHOLE);
    assertThat(ANSWER.check(ANSWER.whole(20))).isEqualTo(Verdict.WHOLE);
  }

  @Test
  void everyProperPrefixIsTruncated() {
    String whole = ANSWER.whole(5);
    for (int i = 0; i < whole.length(); i++) {
      assertThat(ANSWER.check(whole.substring(0, i))).as("%d", i).isEqualTo(Verdict.TRUNCATED);
    }
  }

  @Test
  void otherAnswersAndDamagedOnesAreForeign() {
    String whole = ANSWER.whole(5);
    assertThat(ANSWER.check(AnswerText.of("ticket.2", Prompt.digestOf("hello")).whole(5)))
        .isEqualTo(Verdict.FOREIGN);
    assertThat(ANSWER.check(AnswerText.of("ticket.1", Prompt.digestOf("hullo")).whole(5)))
        .isEqualTo(Verdict.FOREIGN);
    assertThat(ANSWER.check(whole.substring(9))).isEqualTo(Verdict.FOREIGN);
    assertThat(ANSWER.check(whole + " ")).isEqualTo(Verdict.FOREIGN);
    assertThat(ANSWER.check(ANSWER.token(1, 5) + whole)).isEqualTo(Verdict.FOREIGN);
  }

  @Test
  void naturalLengthStaysWithinTheLimit() {
    for (int limit = 1; limit < 50; limit++) {
      assertThat(ANSWER.lengthWithin(limit)).isBetween((limit + 3) / 4, limit);
    }
  }
}
