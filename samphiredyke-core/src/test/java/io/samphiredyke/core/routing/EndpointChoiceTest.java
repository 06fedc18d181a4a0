package io.samphiredyke.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.broker.BrokerStatus;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EndpointChoiceTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final PrefixCacheIndex prefixes = new PrefixCacheIndex(1_000);
  private final EndpointRanking choice = new EndpointRanking(prefixes);
  private final PromptFingerprint prompt = PromptFingerprint.of("x".repeat(16_384));

  private static BrokerStatus hint(String endpoint, long waitNanos, double rate, long interval) {
    return new BrokerStatus(endpoint, false, 0, 8, List.of(0), List.of(waitNanos), rate, interval);
  }

  @Test
  void fasterEndpointComesFirstAndSlowerOneIsHeldBackByTheDifference() {
    choice.updateStatus(hint("fast", 0, 4_096, SECOND / 50));
    choice.updateStatus(hint("slow", 0, 1_024, SECOND / 50));
    List<EndpointOption> options =
        choice.rank(List.of("slow", "fast"), new RequestEstimate(0, 4_096, 50), prompt);
    assertThat(options).extracting(EndpointOption::endpoint).containsExactly("fast", "slow");
    assertThat(options).extracting(EndpointOption::holdOffNanos).containsExactly(0L, 3 * SECOND);
  }

  @Test
  void slowerEndpointIsNotHeldBackWhenTheFasterOneIsBusyForLonger() {
    choice.updateStatus(hint("fast", 4 * SECOND, 4_096, SECOND / 50));
    choice.updateStatus(hint("slow", 5 * SECOND, 1_024, SECOND / 50));
    List<EndpointOption> options =
        choice.rank(List.of("slow", "fast"), new RequestEstimate(0, 4_096, 50), prompt);
    assertThat(options).extracting(EndpointOption::holdOffNanos).containsOnly(0L);
  }

  @Test
  void endpointThatHoldsThePromptIsPreferred() {
    choice.updateStatus(hint("a", 0, 4_096, SECOND / 50));
    choice.updateStatus(hint("b", 0, 4_096, SECOND / 50));
    prefixes.dispatched("b", prompt);
    List<EndpointOption> options =
        choice.rank(List.of("a", "b"), new RequestEstimate(0, 4_096, 50), prompt);
    assertThat(options.get(0).endpoint()).isEqualTo("b");
    assertThat(options.get(0).cachedTokens()).isEqualTo(4_096);
  }
}
