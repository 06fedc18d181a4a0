package io.samphiredyke.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.standins.engine.AnswerText.Verdict;
import org.junit.jupiter.api.Test;

class AnswerTextTest {

  private static final AnswerText TEXT = AnswerText.of("ticket.1", Prompt.digestOf("hello"));

  @Test
  void recognizesCompleteText() {
    assertThat(TEXT.check(TEXT.whole(1))).isEqualTo(Verdict.WHOLE);
    assertThat(TEXT.check(TEXT.whole(20))).isEqualTo(Verdict.WHOLE);
  }

  @Test
  void recognizesEveryProperPrefixAsTruncated() {
    String complete = TEXT.whole(5);
    for (int i = 0; i < complete.length(); i++) {
      assertThat(TEXT.check(complete.substring(0, i))).as("%d", i).isEqualTo(Verdict.TRUNCATED);
    }
  }

  @Test
  void rejectsTextsOfOtherRequestsAndCorruptedTexts() {
    String complete = TEXT.whole(5);
    assertThat(TEXT.check(AnswerText.of("ticket.2", Prompt.digestOf("hello")).whole(5)))
        .isEqualTo(Verdict.FOREIGN);
    assertThat(TEXT.check(AnswerText.of("ticket.1", Prompt.digestOf("hullo")).whole(5)))
        .isEqualTo(Verdict.FOREIGN);
    assertThat(TEXT.check(complete.substring(9))).isEqualTo(Verdict.FOREIGN);
    assertThat(TEXT.check(complete + " ")).isEqualTo(Verdict.FOREIGN);
    assertThat(TEXT.check(TEXT.token(1, 5) + complete)).isEqualTo(Verdict.FOREIGN);
  }

  @Test
  void earlyStopLengthIsWithinLimit() {
    for (int limit = 1; limit < 50; limit++) {
      assertThat(TEXT.lengthWithin(limit)).isBetween((limit + 3) / 4, limit);
    }
  }
}
