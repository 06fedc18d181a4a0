package io.samphiredyke.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.standins.engine.CompletionText.MatchResult;
import org.junit.jupiter.api.Test;

class CompletionTextTest {

  private static final CompletionText TEXT =
      CompletionText.of("ticket.1", Prompt.digestOf("hello"));

  @Test
  void recognizesCompleteText() {
    assertThat(TEXT.match(TEXT.fullText(1))).isEqualTo(MatchResult.WHOLE);
    assertThat(TEXT.match(TEXT.fullText(20))).isEqualTo(MatchResult.WHOLE);
  }

  @Test
  void recognizesEveryProperPrefixAsTruncated() {
    String complete = TEXT.fullText(5);
    for (int i = 0; i < complete.length(); i++) {
      assertThat(TEXT.match(complete.substring(0, i))).as("%d", i).isEqualTo(MatchResult.TRUNCATED);
    }
  }

  @Test
  void rejectsTextsOfOtherRequestsAndCorruptedTexts() {
    String complete = TEXT.fullText(5);
    assertThat(TEXT.match(CompletionText.of("ticket.2", Prompt.digestOf("hello")).fullText(5)))
        .isEqualTo(MatchResult.FOREIGN);
    assertThat(TEXT.match(CompletionText.of("ticket.1", Prompt.digestOf("hullo")).fullText(5)))
        .isEqualTo(MatchResult.FOREIGN);
    assertThat(TEXT.match(complete.substring(9))).isEqualTo(MatchResult.FOREIGN);
    assertThat(TEXT.match(complete + " ")).isEqualTo(MatchResult.FOREIGN);
    assertThat(TEXT.match(TEXT.token(1, 5) + complete)).isEqualTo(MatchResult.FOREIGN);
  }

  @Test
  void earlyStopLengthIsWithinLimit() {
    for (int limit = 1; limit < 50; limit++) {
      assertThat(TEXT.lengthWithin(limit)).isBetween((limit + 3) / 4, limit);
    }
  }
}
