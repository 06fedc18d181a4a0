package io.samphiredyke.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.broker.Claim;
import io.samphiredyke.core.broker.RefusalReason;
import io.samphiredyke.core.broker.Refuse;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClaimSetTest {

  private final Claim template = Claim.builder().requestId("r").build();

  private static List<EndpointOption> options(String... endpoints) {
    List<EndpointOption> options = new ArrayList<>();
    for (String endpoint : endpoints) {
      options.add(new EndpointOption(endpoint, 0, 0, 0));
    }
    return options;
  }

  private static Claim sent(List<ClaimAction> actions, int index) {
    return ((ClaimAction.Send) actions.get(index)).claim();
  }

  @Test
  void firstGrantBindsAndTheOthersAreWithdrawn() {
    ClaimSet set = new ClaimSet(template, options("a", "b"), 2);
    List<ClaimAction> sent = set.start(0);
    Claim first = sent(sent, 0);
    Claim second = sent(sent, 1);
    assertThat(set.granted("b", second.key(), 1))
        .containsExactly(new ClaimAction.Bind(second), new ClaimAction.Withdraw("a", first.key()));
    assertThat(set.granted("a", first.key(), 2))
        .containsExactly(new ClaimAction.Withdraw("a", first.key()));
  }

  @Test
  void requestIsShedOnlyWhenAllEndpointsHaveRefused() {
    ClaimSet set = new ClaimSet(template, options("a", "b", "c"), 1);
    Claim claim = sent(set.start(0), 0);
    for (int refusals = 0; refusals < 2; refusals++) {
      claim = sent(set.refused(new Refuse(claim, RefusalReason.QUEUE_FULL, 9), 1), 0);
      assertThat(set.isOpen()).isTrue();
    }
    List<ClaimAction> last = set.refused(new Refuse(claim, RefusalReason.DEADLINE, 5), 1);
    assertThat(last)
        .singleElement()
        .isInstanceOfSatisfying(
            ClaimAction.Shed.class,
            shed -> {
              assertThat(shed.isPressure()).isTrue();
              assertThat(shed.retryAfterNanos()).isEqualTo(5);
            });
  }

  @Test
  void claimIsRepeatedAtNewBrokerUnderNewAttempt() {
    ClaimSet set = new ClaimSet(template, options("a"), 1);
    Claim claim = sent(set.start(0), 0);
    Claim again = sent(set.brokerChanged("a", 1), 0);
    assertThat(again.attempt()).isEqualTo(claim.attempt() + 1);
    assertThat(set.granted("a", claim.key(), 2))
        .containsExactly(new ClaimAction.Withdraw("a", claim.key()));
  }
}
