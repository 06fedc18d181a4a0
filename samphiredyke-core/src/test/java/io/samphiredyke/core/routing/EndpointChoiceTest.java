package io.samphiredyke.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.broker.BrokerStatus;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EndpointChoiceTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final PrefixMap prefixes = new PrefixMap(1_000);
  private final EndpointChoice choice = new EndpointChoice(prefixes);
  private final PromptFingerprint prompt = PromptFingerprint.of("x".repeat(16_384));

  private static BrokerStatus hint(String endpoint, long waitNanos, double rate, long interval) {
    return new BrokerStatus(endpoint, false, 0, 8, List.of(0), List.of(waitNanos), rate, interval);
  }

  @Test
  void fasterEndpointComesFirstAndSlowerOneIsHeldBackByTheDifference() {
    choice.hint(hint("fast", 0, 4_096, SECOND / 50));
    choice.hint(hint("slow", 0, 1_024, SECOND / 50));
    List<EndpointOption> options =
        choice.choose(List.of("slow", "fast"), new RequestEstimate(0, 4_096, 50), prompt);
    assertThat(options).extracting(EndpointOption::endpoint).containsExactly("fast", "slow");
    assertThat(options).extracting(EndpointOption::holdOffNanos).containsExactly(0L, 3 * SECOND);
  }

  @Test
  void slowerEndpointIsNotHeldBackWhenTheFasterOneIsBusyForLonger() {
    choice.hint(hint("fast", 4 * SECOND, 4_096, SECOND / 50));
    choice.hint(hint("slow", 5 * SECOND, 1_024, SECOND / 50));
    List<EndpointOption> options =
        choice.choose(List.of("slow", "fast"), new RequestEstimate(0, 4_096, 50), prompt);
    assertThat(options).extracting(EndpointOption::holdOffNanos).containsOnly(0L);
  }

  @Test
  void endpointThatHoldsThePromptIsPreferred() {
    choice.hint(hint("a", 0, 4_096, SECOND / 50));
    choice.hint(hint("b", 0, 4_096, SECOND / 50));
    prefixes.dispatched("b", prompt);
    List<EndpointOption> options =
        choice.choose(List.of("a", "b"), new RequestEstimate(0, 4_096, 50), prompt);
    assertThat(options.get(0).endpoint()).isEqualTo("b");
    assertThat(options.get(0).cachedTokens()).isEqualTo(4_096);
  }
}
