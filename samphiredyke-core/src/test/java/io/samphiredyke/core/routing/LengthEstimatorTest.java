package io.samphiredyke.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class LengthEstimatorTest {

  private final LengthEstimator estimator = new LengthEstimator();

  @Test
  void outputOfNewCustomerFollowsTheService() {
    for (int index = 0; index < 50; index++) {
      estimator.observeOutput("s", "known", 40);
    }
    assertThat(estimator.outputTokens("s", "new", 0, 0)).isBetween(38, 42);
    assertThat(estimator.outputTokens("s", "new", 0, 10)).isEqualTo(10);
  }

  @Test
  void estimateFollowsAHundredfoldChange() {
    for (int index = 0; index < 50; index++) {
      estimator.observeOutput("s", "c", 20);
    }
    for (int index = 0; index < 60; index++) {
      estimator.observeOutput("s", "c", 2_000);
    }
    assertThat(estimator.outputTokens("s", "c", 0, 0)).isBetween(1_000, 2_100);
  }

  @Test
  void truncatedResponsesDoNotShortenTheEstimate() {
    Random random = new Random(3);
    for (int index = 0; index < 5_000; index++) {
      int length = (int) Math.exp(Math.log(600) + 0.5 * random.nextGaussian());
      if (length <= 500) {
        estimator.observeOutput("s", "c", length);
      } else {
        estimator.observeTruncatedOutput("s", "c", 500);
      }
    }
    assertThat(estimator.outputTokens("s", "c", 0, 0)).isBetween(480, 720);
  }

  @Test
  void firstResponseDoesNotDetermineTheEstimate() {
    estimator.observeOutput("s", "c", 500);
    assertThat(estimator.outputTokens("s", "c", 2, 0)).isGreaterThan(1_000);
  }

  @Test
  void promptTokensFollowTheLearnedRatio() {
    assertThat(estimator.promptTokens("s", 400)).isEqualTo(100);
    estimator.observePrompt("s", 400, 200);
    assertThat(estimator.promptTokens("s", 400)).isEqualTo(200);
  }
}
